// Package events splits a stream of server-sent events into complete events.
package events

import "bytes"

// maxEventBytes is the largest number of bytes of an incomplete event that are
// buffered. If it is exceeded, Add returns all buffered bytes without waiting for
// the end of the event.
const maxEventBytes = 4 << 20

var (
	separator = []byte("\n\n")
	dataField = []byte("data:")
	idField   = []byte("id:")
)

// Splitter splits a stream into complete events and buffers the incomplete event at
// its end. Events must be separated by an empty line with line feeds only. A
// Splitter is not safe for concurrent use.
type Splitter struct {
	partial []byte
}

// NewSplitter returns a splitter with an empty buffer.
func NewSplitter() *Splitter { return &Splitter{} }

// Add adds the next bytes of the stream and returns all events that are complete
// now; nil if there are none. The result does not share memory with the splitter.
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

// Rest returns the buffered bytes after the last complete event. They are valid
// until the next call of Add.
func (s *Splitter) Rest() []byte { return s.partial }

// Count returns the number of events in complete that have a data field; comments,
// for example, have none.
func Count(complete []byte) (count int) {
	forEachEvent(complete, func(event []byte) {
		if bytes.HasPrefix(event, dataField) || bytes.Contains(event, append([]byte("\n"), dataField...)) {
			count++
		}
	})
	return count
}

// LastID returns the ID of the last event in complete that has one; empty if none
// has.
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

// AppendData appends to output the value of each data field in complete, followed
// by a line feed, and returns the result.
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

// forEachEvent calls visit for each event in complete, without the empty line that
// ends it.
func forEachEvent(complete []byte, visit func(event []byte)) {
	for event := range bytes.SplitSeq(complete, separator) {
		if len(event) > 0 {
			visit(event)
		}
	}
}
