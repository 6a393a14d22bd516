package wire

import (
	"bytes"
	"encoding/json"
)

// envelope is the JSON object in which the body of every request, reply and chunk is
// sent. Correlation identifies the call; it is empty in heartbeats.
type envelope struct {
	Correlation string          `json:"correlation"`
	Body        json.RawMessage `json:"body,omitempty"`
}

// These constants are the parts of the layout that append writes: before the
// correlation id, and between it and the body.
const (
	envelopePrefix    = `{"correlation":"`
	envelopeBodyField = `","body":`
)

// append appends the JSON encoding of the envelope to frame. It copies Body, which must
// be valid JSON, without checking it.
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

// parseEnvelope decodes an envelope. If raw has the layout that append writes,
// parseEnvelope only splits it and does not check that the body is valid JSON. The code
// that decodes the body detects an invalid one. ok is false if raw is not an envelope.
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
