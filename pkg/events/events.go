// Package events splits a stream of server-sent events into complete events.
package events

import "bytes"

// maxEventBytes bounds the size of an incomplete event. Beyond it, the bytes are
// passed on without waiting for the end of the event.
const maxEventBytes = 4 << 20

var (
	separator = []byte("\n\n")
	dataField = []byte("data:")
	idField   = []byte("id:")
)

// Splitter buffers the incomplete event at the end of a stream.
type Splitter struct {
	partial []byte
}

// NewSplitter returns a splitter for the start of a stream.
func NewSplitter() *Splitter { return &Splitter{} }

// Add adds the next bytes of the stream and returns the events that they complete.
// The caller must not use the result after the next call.
func (s *Splitter) Add(data []byte) (complete []byte) {
	if len(data) == 0 {
		return nil
	}
	s.partial = append(s.partial, data...)
	end := bytes.LastIndex(s.partial, separator)
	if end < 0 {
		if len(s.partial) <= maxEventBytes {
			return nil
		}
		end = len(s.partial) - len(separator)
	}
	end += len(separator)
	complete = bytes.Clone(s.partial[:end])
	s.partial = append(s.partial[:0], s.partial[end:]...)
	return complete
}

// Rest returns the bytes after the last complete event.
func (s *Splitter) Rest() []byte { return s.partial }

// Count returns the number of events that carry data.
func Count(complete []byte) (count int) {
	forEachEvent(complete, func(event []byte) {
		if bytes.HasPrefix(event, dataField) || bytes.Contains(event, append([]byte("\n"), dataField...)) {
			count++
		}
	})
	return count
}

// LastID returns the ID of the last event that has one.
func LastID(complete []byte) (id string) {
	forEachEvent(complete, func(event []byte) {
		for line := range bytes.SplitSeq(event, []byte("\n")) {
			if value, ok := bytes.CutPrefix(line, idField); ok {
				id = string(bytes.TrimSpace(value))
			}
		}
	})
	return id
}

// AppendData appends the data lines of each event, each followed by a line feed.
func AppendData(output, complete []byte) []byte {
	forEachEvent(complete, func(event []byte) {
		for line := range bytes.SplitSeq(event, []byte("\n")) {
			value, ok := bytes.CutPrefix(line, dataField)
			if !ok {
				continue
			}
			output = append(output, bytes.TrimPrefix(value, []byte(" "))...)
			output = append(output, '\n')
		}
	})
	return output
}

func forEachEvent(complete []byte, visit func(event []byte)) {
	for event := range bytes.SplitSeq(complete, separator) {
		if len(event) > 0 {
			visit(event)
		}
	}
}
