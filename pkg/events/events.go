// Package events splits a stream of server-sent events into complete events. Lines may
// end with a line feed, a carriage return or both.
package events

import "bytes"

var (
	dataField = []byte("data:")
	idField   = []byte("id:")
)

// Splitter splits a stream into complete events and buffers the incomplete event at
// its end. An empty line ends an event. A Splitter is not safe for concurrent use.
type Splitter struct {
	partial []byte
	// scanned is the number of bytes of partial that were examined for line ends.
	scanned int
	// inLine reports whether the last examined byte belongs to a line that has not ended.
	// afterReturn reports whether it was a carriage return, to whose line end a line feed
	// that follows belongs, and endedEvent whether an event may end with it.
	inLine, afterReturn, endedEvent bool
}

// NewSplitter returns a splitter with an empty buffer.
func NewSplitter() *Splitter { return &Splitter{} }

// Add adds the next bytes of the stream and returns all events that are complete
// now; nil if there are none. The result does not share memory with the splitter.
func (s *Splitter) Add(data []byte) (complete []byte) {
	s.partial = append(s.partial, data...)
	end := 0
	for ; s.scanned < len(s.partial); s.scanned++ {
		if s.scan(s.partial[s.scanned]) {
			end = s.scanned + 1
		}
	}
	if end == 0 {
		return nil
	}
	complete = bytes.Clone(s.partial[:end])
	s.partial = append(s.partial[:0], s.partial[end:]...)
	s.scanned = len(s.partial)
	return complete
}

// scan examines the next byte and reports whether an event may end with it. The second
// byte of a line end belongs to the event that the first byte has ended.
func (s *Splitter) scan(b byte) (endsEvent bool) {
	completesLineEnd := b == '\n' && s.afterReturn
	s.afterReturn = b == '\r'
	if completesLineEnd {
		return s.endedEvent
	}
	isLineEnd := b == '\n' || b == '\r'
	s.endedEvent = isLineEnd && !s.inLine
	s.inLine = !isLineEnd
	return s.endedEvent
}

// Rest returns the buffered bytes after the last complete event. They are valid
// until the next call of Add.
func (s *Splitter) Rest() []byte { return s.partial }

// InEvent reports whether the buffered bytes begin an event. A stream that ends there
// was broken off.
func (s *Splitter) InEvent() bool { return len(bytes.Trim(s.partial, "\r\n")) > 0 }

// Count returns the number of events in complete that have a data field; comments,
// for example, have none.
func Count(complete []byte) (count int) {
	hasData := false
	forEachLine(complete, func(line []byte) {
		switch {
		case len(line) == 0:
			hasData = false
		case !hasData && bytes.HasPrefix(line, dataField):
			hasData = true
			count++
		}
	})
	return count
}

// LastID returns the ID of the last event in complete that has one; empty if none
// has.
func LastID(complete []byte) (id string) {
	forEachLine(complete, func(line []byte) {
		if value, ok := bytes.CutPrefix(line, idField); ok {
			id = string(bytes.TrimSpace(value))
		}
	})
	return id
}

// AppendData appends to output the value of each data field in complete, followed
// by a line feed, and returns the result.
func AppendData(output, complete []byte) []byte {
	forEachLine(complete, func(line []byte) {
		value, ok := bytes.CutPrefix(line, dataField)
		if !ok {
			return
		}
		output = append(output, bytes.TrimPrefix(value, []byte(" "))...)
		output = append(output, '\n')
	})
	return output
}

// forEachLine calls visit for each line of complete, without its line end. The line that
// ends an event is empty.
func forEachLine(complete []byte, visit func(line []byte)) {
	for len(complete) > 0 {
		end := bytes.IndexAny(complete, "\r\n")
		if end < 0 {
			visit(complete)
			return
		}
		visit(complete[:end])
		if bytes.HasPrefix(complete[end:], []byte("\r\n")) {
			end++
		}
		complete = complete[end+1:]
	}
}
