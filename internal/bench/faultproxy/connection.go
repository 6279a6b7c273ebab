package faultproxy

import (
	"bytes"
	"net"
	"sync"
	"time"
)

// direction is the direction of a relayed byte stream.
type direction int

const (
	toUpstream direction = iota
	toCaller
	directions
)

// faults holds the faults that a link injects into its connections. The zero value relays bytes unchanged.
type faults struct {
	stalled [directions]bool
	// latency delays each chunk, without limiting the rate.
	latency        time.Duration
	bytesPerSecond int64
	// sliceBytes is the maximum size of a write (0: unlimited), sliceDelay the pause after each write.
	sliceBytes int
	sliceDelay time.Duration
}

const (
	// Each direction of a connection buffers up to readBufferBytes*maxQueuedChunks (8 MiB) of delayed data.
	readBufferBytes = 32 << 10
	maxQueuedChunks = 256
)

// chunk holds the bytes returned by one read.
type chunk struct {
	data   []byte
	readAt time.Time
}

// connection relays bytes between a caller and the upstream.
type connection struct {
	ends   [directions]net.Conn
	closed chan struct{}
	once   sync.Once
}

func newConnection(caller, upstream net.Conn) *connection {
	return &connection{
		ends:   [directions]net.Conn{toUpstream: upstream, toCaller: caller},
		closed: make(chan struct{}),
	}
}

// close closes both ends without waiting for the relaying goroutines.
func (c *connection) close() {
	c.once.Do(func() {
		close(c.closed)
		for _, end := range c.ends {
			_ = end.Close()
		}
	})
}

// run relays both directions until either end closes, then calls onClose.
func (c *connection) run(currentFaults func() faults, onClose func()) {
	var relays sync.WaitGroup
	for dir := range directions {
		relays.Go(func() {
			defer c.close()
			c.write(dir, currentFaults, c.read(dir))
		})
	}
	relays.Wait()
	onClose()
}

// read returns the chunks read from the source of a direction. The channel is closed when the source closes.
func (c *connection) read(dir direction) <-chan chunk {
	chunks := make(chan chunk, maxQueuedChunks)
	source := c.ends[directions-1-dir]
	go func() {
		defer close(chunks)
		buffer := make([]byte, readBufferBytes)
		for {
			count, err := source.Read(buffer)
			if count > 0 {
				select {
				case chunks <- chunk{data: bytes.Clone(buffer[:count]), readAt: time.Now()}:
				case <-c.closed:
					return
				}
			}
			if err != nil {
				return
			}
		}
	}()
	return chunks
}

// write forwards chunks, applying the link's current faults, until the channel or the connection is closed.
func (c *connection) write(dir direction, currentFaults func() faults, chunks <-chan chunk) {
	for each := range chunks {
		if !c.sleep(time.Until(each.readAt.Add(currentFaults().latency))) {
			return
		}
		faults := currentFaults()
		if faults.stalled[dir] {
			continue
		}
		if !c.writeSlices(dir, faults, each.data) {
			return
		}
	}
}

// writeSlices writes data with the configured slicing and bandwidth limit. It returns false if the connection
// was closed.
func (c *connection) writeSlices(dir direction, faults faults, data []byte) bool {
	for len(data) > 0 {
		slice := data
		if faults.sliceBytes > 0 {
			slice = data[:min(faults.sliceBytes, len(data))]
		}
		data = data[len(slice):]
		if faults.bytesPerSecond > 0 && !c.sleep(time.Duration(len(slice))*time.Second/time.Duration(faults.bytesPerSecond)) {
			return false
		}
		if _, err := c.ends[dir].Write(slice); err != nil {
			return false
		}
		if faults.sliceBytes > 0 && !c.sleep(faults.sliceDelay) {
			return false
		}
	}
	return true
}

// sleep waits for the period. It returns false if the connection was closed meanwhile.
func (c *connection) sleep(period time.Duration) bool {
	if period <= 0 {
		return true
	}
	timer := time.NewTimer(period)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-c.closed:
		return false
	}
}
