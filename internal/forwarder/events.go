package forwarder

import (
	"bytes"
	"strconv"
)

// hasPosition reports whether an event's id can be compared with the last delivered one.
func (c *call) hasPosition(id string) bool {
	if _, err := strconv.ParseInt(c.lastEvent, 10, 64); err != nil {
		return id != ""
	}
	_, err := strconv.ParseInt(id, 10, 64)
	return err == nil
}

// isAfter reports whether the caller already has an event after the one with the id.
func (c *call) isAfter(id string) bool {
	last, lastErr := strconv.ParseInt(c.lastEvent, 10, 64)
	n, err := strconv.ParseInt(id, 10, 64)
	return lastErr == nil && err == nil && n < last
}

// checkEventOrder checks an event's id against the last delivered one: it skips events that the caller
// already has and returns an error if one is missing.
func (c *call) checkEventOrder(id string) (skip bool, err error) {
	last, err := strconv.ParseInt(c.lastEvent, 10, 64)
	if err != nil {
		// Without a numeric last event id, any event may come first.
		return false, nil
	}
	n, err := strconv.ParseInt(id, 10, 64)
	if err != nil {
		return false, nil
	}
	switch {
	case n <= last:
		return true, nil
	case n > last+1:
		return false, errMissingEvent
	}
	return false, nil
}

// eventID returns the id of an event, or the empty string if it has none.
func eventID(event []byte) string {
	for line := range bytes.Lines(event) {
		if v, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(v))
		}
	}
	return ""
}
