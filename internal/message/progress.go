package message

import "github.com/vmihailenco/msgpack/v5"

// EncodeMsgpack encodes the message as its msgpack tags specify. It avoids reflection,
// since it runs for each relayed chunk.
func (p Progress) EncodeMsgpack(encoder *msgpack.Encoder) error {
	e := fieldEncoder{encoder: encoder}
	e.mapHeader(p.fieldCount())
	e.unsigned("a", uint64(p.Attempt))
	e.unsigned("ea", uint64(p.EngineAttempt))
	if p.Engine != "" {
		e.text("e", p.Engine)
	}
	e.integer("f", p.FirstToken)
	if len(p.Tokens) > 0 {
		e.textArray("t", p.Tokens)
	}
	e.unsigned("v", p.Version)
	if p.Finished {
		e.key("d")
		e.setError(encoder.EncodeBool(true))
	}
	if p.FinishReason != "" {
		e.text("fr", p.FinishReason)
	}
	if p.CachedTokens != 0 {
		e.integer("ct", p.CachedTokens)
	}
	if p.Load != nil {
		e.key("l")
		e.setError(encoder.Encode(p.Load))
	}
	return e.err
}

// fieldCount returns the number of encoded fields: four required ones and the optional ones that are set.
func (p *Progress) fieldCount() int {
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

// fieldEncoder encodes the fields of one message as a msgpack map and keeps the first error.
type fieldEncoder struct {
	encoder *msgpack.Encoder
	err     error
}

func (e *fieldEncoder) setError(err error) {
	if e.err == nil {
		e.err = err
	}
}

func (e *fieldEncoder) mapHeader(fields int) { e.setError(e.encoder.EncodeMapLen(fields)) }

func (e *fieldEncoder) key(name string) { e.setError(e.encoder.EncodeString(name)) }

func (e *fieldEncoder) text(name, value string) {
	e.key(name)
	e.setError(e.encoder.EncodeString(value))
}

func (e *fieldEncoder) textArray(name string, values []string) {
	e.key(name)
	e.setError(e.encoder.EncodeArrayLen(len(values)))
	for _, value := range values {
		e.setError(e.encoder.EncodeString(value))
	}
}

func (e *fieldEncoder) unsigned(name string, value uint64) {
	e.key(name)
	e.setError(e.encoder.EncodeUint(value))
}

func (e *fieldEncoder) integer(name string, value int) {
	e.key(name)
	e.setError(e.encoder.EncodeInt(int64(value)))
}
