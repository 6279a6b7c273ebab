package boundedhttp

import (
	"context"
	"io"

	"github.com/corkpulley/corkpulley/internal/core/bytebudget"
	"github.com/corkpulley/corkpulley/internal/core/errkind"
)

// bodyStepBytes is the first reservation for a body. It doubles as the body arrives.
const bodyStepBytes = 64 << 10

// chargedBody reserves memory for a body while it is read. Nothing is reserved for bytes that have not arrived.
type chargedBody struct {
	io.ReadCloser
	connection *connection
	// length is the announced length; negative if unknown.
	length         int64
	read, reserved int64
	failure        error
}

// Read implements io.Reader. It returns an *errkind.Error if memory is short.
func (b *chargedBody) Read(into []byte) (int, error) {
	if b.failure != nil {
		return 0, b.failure
	}
	count, err := b.ReadCloser.Read(into)
	b.read += int64(count)
	if b.read > b.reserved {
		if failure := b.grow(); failure != nil {
			b.failure = failure
			return count, failure
		}
	}
	return count, err
}

// grow reserves memory ahead of the bytes read, as the buffers of their readers grow.
func (b *chargedBody) grow() error {
	total := max(b.read, 2*b.reserved, bodyStepBytes)
	if b.length >= 0 {
		total = max(b.read, min(total, b.length))
	}
	if failure := b.connection.reserveBody(total - b.reserved); failure != nil {
		return failure
	}
	b.reserved = total
	return nil
}

// ReserveMemory reserves memory for what a body is decoded to, until the request of the context is answered. Its error is
// an *errkind.Error.
func ReserveMemory(ctx context.Context, bytes int64) error {
	c, found := ctx.Value(connectionKey{}).(*connection)
	if !found {
		return nil
	}
	return c.reserveBody(bytes)
}

// reserveBody reserves memory for a body. A request that needs more than the node can ever spare is refused for good.
func (c *connection) reserveBody(bytes int64) error {
	if c.reserve(bytebudget.Bodies, bytes) {
		return nil
	}
	c.server.refusedBody()
	if c.server.set.Exceeds(c.tracked, bytes) {
		return errkind.New(errkind.PayloadTooLarge, "the request takes more memory than this node can spare")
	}
	return noMemory(bytes)
}
