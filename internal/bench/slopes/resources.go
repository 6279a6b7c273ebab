package slopes

import (
	"runtime"
	"time"
)

// processorMicroseconds returns the processor time of the whole process while
// work runs, garbage collection included. What earlier work left behind is
// collected first.
func processorMicroseconds(work func() error) (float64, error) {
	runtime.GC()
	before, err := processorTime()
	if err != nil {
		return 0, err
	}
	if err := work(); err != nil {
		return 0, err
	}
	after, err := processorTime()
	if err != nil {
		return 0, err
	}
	return float64(after-before) / float64(time.Microsecond), nil
}

// microsecondsEach is processorMicroseconds divided by the repeats of work.
func microsecondsEach(repeats int, work func() error) (float64, error) {
	total, err := processorMicroseconds(func() error {
		for range repeats {
			if err := work(); err != nil {
				return err
			}
		}
		return nil
	})
	return total / float64(repeats), err
}

const (
	// settleTries and settlePause bound the wait for what earlier work left
	// behind: connections and goroutines that are about to end.
	settleTries = 5
	settlePause = 10 * time.Millisecond
	// settledWithin is how far two readings of an idle process may differ, in bytes.
	settledWithin = 2048
)

// liveBytes returns the bytes of heap objects in use after a collection, and
// of stacks, once they no longer fall.
func liveBytes() float64 {
	last := collectedBytes()
	for range settleTries {
		time.Sleep(settlePause)
		current := collectedBytes()
		if current > last-settledWithin {
			return current
		}
		last = current
	}
	return last
}

func collectedBytes() float64 {
	// The first collection lets finalizers and pools go, the second what they held.
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc) + float64(stats.StackInuse)
}

// bytesHeld returns how many bytes the value that build returns keeps in use.
func bytesHeld(build func() (any, error)) (float64, error) {
	before := liveBytes()
	value, err := build()
	if err != nil {
		return 0, err
	}
	after := liveBytes()
	runtime.KeepAlive(value)
	return after - before, nil
}
