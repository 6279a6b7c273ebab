package soak

import (
	"strconv"
	"strings"

	standin "github.com/corkpulley/corkpulley/internal/standin/platform"
)

// eventData returns the data of an event, marked with the version that produced it.
func eventData(id string, number int, version int64) string {
	return standin.EventData(id, number) + versionMark + strconv.FormatInt(version, 10)
}

const versionMark = "@"

// splitEvent reverses eventData; the version is zero if data has no mark.
func splitEvent(data string) (string, int64) {
	event, mark, found := strings.Cut(data, versionMark)
	if !found {
		return data, 0
	}
	version, err := strconv.ParseInt(mark, 10, 64)
	if err != nil {
		return data, 0
	}
	return event, version
}
