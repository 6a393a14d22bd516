package wire

import (
	"bytes"
	"encoding/json"
)

// envelope frames the parameters of every request, reply and chunk.
type envelope struct {
	Correlation string          `json:"correlation"`
	Body        json.RawMessage `json:"body,omitempty"`
}

const (
	envelopePrefix    = `{"correlation":"`
	envelopeBodyField = `","body":`
)

// append appends the JSON form of the envelope. The body is already JSON, so it
// is not scanned again.
func (e envelope) append(frame []byte) []byte {
	frame = appendString(append(frame, `{"correlation":`...), e.Correlation)
	if len(e.Body) > 0 {
		frame = append(append(frame, `,"body":`...), e.Body...)
	}
	return append(frame, '}')
}

// raw returns the JSON form.
func (e envelope) encode() json.RawMessage {
	return e.append(make([]byte, 0, len(e.Correlation)+len(e.Body)+32))
}

// envelopeOf decodes an envelope. One that append has written is only cut into
// its parts; the receiver of the body decodes that and finds its faults.
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
