// Package events splits a stream of server-sent events into whole events.
package events

import "bytes"

// maxEventBytes bounds an event whose end does not come.
const maxEventBytes = 4 << 20

var (
	separator = []byte("\n\n")
	dataField = []byte("data:")
	idField   = []byte("id:")
)

// Splitter holds the part of a stream that is no whole event yet.
type Splitter struct {
	rest []byte
}

// NewSplitter returns a splitter at the start of a stream.
func NewSplitter() *Splitter { return &Splitter{} }

// Add takes the next bytes of the stream and returns the whole events that end in
// them. The result is valid until the next call.
func (s *Splitter) Add(data []byte) (whole []byte) {
	if len(data) == 0 {
		return nil
	}
	s.rest = append(s.rest, data...)
	end := bytes.LastIndex(s.rest, separator)
	if end < 0 {
		if len(s.rest) <= maxEventBytes {
			return nil
		}
		end = len(s.rest) - len(separator)
	}
	end += len(separator)
	whole = bytes.Clone(s.rest[:end])
	s.rest = append(s.rest[:0], s.rest[end:]...)
	return whole
}

// Rest returns the bytes after the last whole event.
func (s *Splitter) Rest() []byte { return s.rest }

// Count returns the number of events that carry data.
func Count(whole []byte) (count int) {
	each(whole, func(event []byte) {
		if bytes.HasPrefix(event, dataField) || bytes.Contains(event, append([]byte("\n"), dataField...)) {
			count++
		}
	})
	return count
}

// LastID returns the identifier of the last event that has one.
func LastID(whole []byte) (id string) {
	each(whole, func(event []byte) {
		for line := range bytes.SplitSeq(event, []byte("\n")) {
			if value, ok := bytes.CutPrefix(line, idField); ok {
				id = string(bytes.TrimSpace(value))
			}
		}
	})
	return id
}

// AppendData appends the data of each event, followed by a line feed.
func AppendData(output, whole []byte) []byte {
	each(whole, func(event []byte) {
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

func each(whole []byte, visit func(event []byte)) {
	for event := range bytes.SplitSeq(whole, separator) {
		if len(event) > 0 {
			visit(event)
		}
	}
}
