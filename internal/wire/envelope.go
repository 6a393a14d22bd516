package wire

import (
	"bytes"
	"encoding/json"
)

// envelope wraps the body of every request, reply and chunk.
type envelope struct {
	Correlation string          `json:"correlation"`
	Body        json.RawMessage `json:"body,omitempty"`
}

const (
	envelopePrefix    = `{"correlation":"`
	envelopeBodyField = `","body":`
)

// append appends the JSON encoding of the envelope to frame. The body is already
// JSON, so it is copied without being scanned again.
func (e envelope) append(frame []byte) []byte {
	frame = appendString(append(frame, `{"correlation":`...), e.Correlation)
	if len(e.Body) > 0 {
		frame = append(append(frame, `,"body":`...), e.Body...)
	}
	return append(frame, '}')
}

// encode returns the JSON encoding of the envelope.
func (e envelope) encode() json.RawMessage {
	return e.append(make([]byte, 0, len(e.Correlation)+len(e.Body)+32))
}

// parseEnvelope decodes an envelope. The layout that append writes is split
// without being parsed as JSON; an invalid body is then found by the code that
// decodes it.
func parseEnvelope(raw []byte) (e envelope, ok bool) {
	rest, hasPrefix := bytes.CutPrefix(raw, []byte(envelopePrefix))
	end := bytes.IndexByte(rest, '"')
	if hasPrefix && end >= 0 && bytes.IndexByte(rest[:end], '\\') < 0 {
		correlation := string(rest[:end])
		if body, found := bytes.CutPrefix(rest[end:], []byte(envelopeBodyField)); found && len(body) > 1 && body[len(body)-1] == '}' {
			return envelope{Correlation: correlation, Body: body[:len(body)-1]}, true
		}
	}
	return e, json.Unmarshal(raw, &e) == nil
}
