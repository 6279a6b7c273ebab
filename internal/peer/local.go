package peer

import (
	"context"
	"io"

	"github.com/go-faster/errors"

	"github.com/corkpulley/corkpulley/internal/core/errkind"
)

// localSink hands an answer to a caller in the same process. Messages are
// encoded and decoded as on the wire, so that nothing is shared.
type localSink struct{ answer *answer }

func (l *localSink) message(_ context.Context, message any) (int, error) {
	encoded := newFrame(frameMessage, 0)
	defer encoded.release()
	if err := encoded.encode(message); err != nil {
		return 0, errors.Wrap(err, "encode message")
	}
	content := encoded.copyBody()
	size := len(content.data)
	return size, l.answer.inbox.push(content)
}

func (l *localSink) end(failure *errkind.Error) {
	if failure == nil {
		l.answer.inbox.finish(io.EOF)
		return
	}
	duplicate := *failure
	l.answer.inbox.finish(&duplicate)
}

// openLocal runs a handler of this process.
func (t *Transport) openLocal(kind frameKind, method Method, message any) (*answer, error) {
	encoded := newFrame(kind, 0)
	defer encoded.release()
	if err := encoded.encode(message); err != nil {
		return nil, &DeliveryError{Err: errors.Wrap(err, "encode request")}
	}
	if !t.begin() {
		return nil, errkind.New(errkind.ShuttingDown, "node takes no new work")
	}
	e := &exchange{transport: t, window: newWindow()}
	e.ctx, e.cancel = context.WithCancel(t.baseContext)
	a := &answer{abandon: e.cancel, grant: e.window.add}
	a.inbox.init()
	e.sink = &localSink{answer: a}
	incoming := &request{from: t.options.NodeID, data: encoded.copyBody().data}
	go e.run(kind, method, incoming)
	return a, nil
}
