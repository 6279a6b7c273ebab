package message

import "github.com/vmihailenco/msgpack/v5"

// EncodeMsgpack encodes the message as msgpack encodes its fields by their
// tags, without the reflection that each relayed chunk would pay for.
func (p Progress) EncodeMsgpack(encoder *msgpack.Encoder) error {
	e := fieldEncoder{encoder: encoder}
	e.count(p.fields())
	e.unsigned("a", uint64(p.Attempt))
	e.unsigned("ea", uint64(p.EngineAttempt))
	if p.Engine != "" {
		e.text("e", p.Engine)
	}
	e.integer("f", p.FirstToken)
	if len(p.Tokens) > 0 {
		e.texts("t", p.Tokens)
	}
	e.unsigned("v", p.Version)
	if p.Finished {
		e.key("d")
		e.note(encoder.EncodeBool(true))
	}
	if p.FinishReason != "" {
		e.text("fr", p.FinishReason)
	}
	if p.CachedTokens != 0 {
		e.integer("ct", p.CachedTokens)
	}
	if p.Load != nil {
		e.key("l")
		e.note(encoder.Encode(p.Load))
	}
	return e.err
}

// fields counts the fields that are encoded: four always, the others unless empty.
func (p *Progress) fields() int {
	count := 4
	for _, present := range [...]bool{
		p.Engine != "", len(p.Tokens) > 0, p.Finished, p.FinishReason != "", p.CachedTokens != 0, p.Load != nil,
	} {
		if present {
			count++
		}
	}
	return count
}

// fieldEncoder encodes the fields of one message and keeps the first error.
type fieldEncoder struct {
	encoder *msgpack.Encoder
	err     error
}

func (e *fieldEncoder) note(err error) {
	if e.err == nil {
		e.err = err
	}
}

func (e *fieldEncoder) count(fields int) { e.note(e.encoder.EncodeMapLen(fields)) }

func (e *fieldEncoder) key(name string) { e.note(e.encoder.EncodeString(name)) }

func (e *fieldEncoder) text(name, value string) {
	e.key(name)
	e.note(e.encoder.EncodeString(value))
}

func (e *fieldEncoder) texts(name string, values []string) {
	e.key(name)
	e.note(e.encoder.EncodeArrayLen(len(values)))
	for _, value := range values {
		e.note(e.encoder.EncodeString(value))
	}
}

func (e *fieldEncoder) unsigned(name string, value uint64) {
	e.key(name)
	e.note(e.encoder.EncodeUint(value))
}

func (e *fieldEncoder) integer(name string, value int) {
	e.key(name)
	e.note(e.encoder.EncodeInt(int64(value)))
}
