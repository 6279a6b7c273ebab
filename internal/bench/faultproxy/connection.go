package faultproxy

import (
	"bytes"
	"net"
	"sync"
	"time"
)

// direction is one of the two ways of a connection.
type direction int

const (
	toUpstream direction = iota
	toCaller
	directions
)

// faults are what a link does to the bytes of its connections; zero relays them as they come.
type faults struct {
	stalled [directions]bool
	// latency delays each chunk, without limiting the rate.
	latency        time.Duration
	bytesPerSecond int64
	// sliceBytes is the size of a write, zero for as it comes, and sliceDelay the pause after each.
	sliceBytes int
	sliceDelay time.Duration
}

const (
	// chunkBytes is the most that is read at once, and chunksUnderWay how many chunks may wait for their
	// latency: 8 MB at most, far more than a test sends within one.
	chunkBytes     = 32 << 10
	chunksUnderWay = 256
)

// chunk is what was read at once.
type chunk struct {
	data   []byte
	readAt time.Time
}

// connection is one relayed connection.
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

// close closes both ends; it does not wait.
func (c *connection) close() {
	c.once.Do(func() {
		close(c.closed)
		for _, end := range c.ends {
			_ = end.Close()
		}
	})
}

// run relays until an end closes, and calls ended.
func (c *connection) run(inForce func() faults, ended func()) {
	var ways sync.WaitGroup
	for way := range directions {
		ways.Go(func() {
			defer c.close()
			c.write(way, inForce, c.read(way))
		})
	}
	ways.Wait()
	ended()
}

// read returns what comes from the end opposite to a direction, until it closes.
func (c *connection) read(way direction) <-chan chunk {
	chunks := make(chan chunk, chunksUnderWay)
	source := c.ends[directions-1-way]
	go func() {
		defer close(chunks)
		buffer := make([]byte, chunkBytes)
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

// write passes chunks on under the faults in force, until they end or the connection closes.
func (c *connection) write(way direction, inForce func() faults, chunks <-chan chunk) {
	for each := range chunks {
		if !c.sleep(time.Until(each.readAt.Add(inForce().latency))) {
			return
		}
		faults := inForce()
		if faults.stalled[way] {
			continue
		}
		if !c.writeSlices(way, faults, each.data) {
			return
		}
	}
}

// writeSlices writes a chunk in slices at the rate allowed; false once the connection is closed.
func (c *connection) writeSlices(way direction, faults faults, data []byte) bool {
	for len(data) > 0 {
		slice := data
		if faults.sliceBytes > 0 {
			slice = data[:min(faults.sliceBytes, len(data))]
		}
		data = data[len(slice):]
		if faults.bytesPerSecond > 0 && !c.sleep(time.Duration(len(slice))*time.Second/time.Duration(faults.bytesPerSecond)) {
			return false
		}
		if _, err := c.ends[way].Write(slice); err != nil {
			return false
		}
		if faults.sliceBytes > 0 && !c.sleep(faults.sliceDelay) {
			return false
		}
	}
	return true
}

// sleep waits; false once the connection is closed.
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
