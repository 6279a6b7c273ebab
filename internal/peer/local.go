package peer

import (
	"context"
	"io"

	"github.com/go-faster/errors"

	"github.com/corkpulley/corkpulley/internal/core/errkind"
)

// localSink delivers a response within the process. Messages are encoded and decoded, so that caller and
// handler share no memory.
type localSink struct{ responseStream *responseStream }

func (l *localSink) send(_ context.Context, message any) (int, error) {
	encoded := newFrame(frameMessage, 0)
	defer encoded.release()
	if err := encoded.encode(message); err != nil {
		return 0, errors.Wrap(err, "encode message")
	}
	content := encoded.copyBody()
	size := len(content.data)
	return size, l.responseStream.receiveQueue.push(content)
}

func (l *localSink) end(failure *errkind.Error) {
	if failure == nil {
		l.responseStream.receiveQueue.finish(io.EOF)
		return
	}
	copied := *failure
	l.responseStream.receiveQueue.finish(&copied)
}

// openLocal runs a handler of this process.
func (t *Transport) openLocal(kind frameKind, method Method, message any) (*responseStream, error) {
	encoded := newFrame(kind, 0)
	defer encoded.release()
	if err := encoded.encode(message); err != nil {
		return nil, &DeliveryError{Err: errors.Wrap(err, "encode request")}
	}
	if !t.beginHandler() {
		return nil, errkind.New(errkind.ShuttingDown, "node is shutting down and accepts no new work")
	}
	e := &exchange{transport: t, sendWindow: newSendWindow()}
	e.ctx, e.cancel = context.WithCancel(t.baseContext)
	stream := &responseStream{onCancel: e.cancel, onConsumed: e.sendWindow.add}
	stream.receiveQueue.init()
	e.sink = &localSink{responseStream: stream}
	incoming := &request{from: t.options.NodeID, data: encoded.copyBody().data}
	go e.run(kind, method, incoming)
	return stream, nil
}
