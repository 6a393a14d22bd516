package settings

import (
	"bytes"
	"encoding/json"
	"math"
	"slices"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// Kind is the type of a setting's value.
type Kind string

// The kinds of values.
const (
	KindNumber   Kind = "number"
	KindInteger  Kind = "integer"
	KindDuration Kind = "duration"
	KindBoolean  Kind = "boolean"
	KindText     Kind = "text"
)

// Value is one typed value. The zero value is no value.
type Value struct {
	kind   Kind
	number float64
	flag   bool
	text   string
}

// String returns the JSON form without quotes around a text.
func (v Value) String() string {
	switch v.kind {
	case KindNumber, KindInteger, KindDuration:
		return strconv.FormatFloat(v.number, 'f', -1, 64)
	case KindBoolean:
		return strconv.FormatBool(v.flag)
	default:
		return v.text
	}
}

// MarshalJSON returns a JSON number, boolean or string.
func (v Value) MarshalJSON() ([]byte, error) {
	if v.kind == KindText {
		return json.Marshal(v.text)
	}
	if v.kind == "" {
		return []byte("null"), nil
	}
	return []byte(v.String()), nil
}

// Spec describes one known setting.
type Spec struct {
	// Name is the setting's name.
	Name string
	// Kind is the type of the value; Unit is for documentation.
	Kind Kind
	Unit string
	// Min and Max bound a number, inclusive.
	Min, Max float64
	// Default holds where no level sets a value.
	Default Value
	// Levels lists where the setting may be set.
	Levels []Level
	// Keyed tells that the setting holds one value per endpoint.
	Keyed bool
	// Choices lists the accepted texts. It is checked before publishing only,
	// because it depends on the plug-ins of the running binary and readers of
	// different versions must agree on every record.
	Choices func() []string
	// Description is one line for the reference.
	Description string
}

// Check checks the path and decodes raw against the registry. The result
// depends on the arguments only. Errors name the path and the reason.
func Check(path Path, raw json.RawMessage) (value Value, err error) {
	defer func() { err = errors.Wrap(err, path.String()) }()
	spec, err := checkPath(path)
	if err != nil {
		return Value{}, err
	}
	return spec.decode(raw)
}

func checkPath(path Path) (*Spec, error) {
	spec, ok := Lookup(path.Name)
	if !ok {
		return nil, errors.Errorf("setting %q does not exist%s", path.Name, suggestion(path.Name))
	}
	if !slices.Contains(spec.Levels, path.Level) {
		return nil, errors.Errorf("may be set at %s, not at %s", spec.levelNames(), path.Level)
	}
	if spec.Keyed && path.Key == "" {
		return nil, errors.Errorf("needs the endpoint in brackets, for example %s[ENDPOINT]", path)
	}
	if !spec.Keyed && path.Key != "" {
		return nil, errors.New("does not take a key in brackets")
	}
	return spec, nil
}

func (s *Spec) levelNames() string {
	names := make([]string, len(s.Levels))
	for i, level := range s.Levels {
		names[i] = level.String()
	}
	return strings.Join(names, ", ")
}

func (s *Spec) decode(raw json.RawMessage) (Value, error) {
	raw = bytes.TrimSpace(raw)
	switch s.Kind {
	case KindBoolean:
		switch string(raw) {
		case "true", "false":
			return Value{kind: KindBoolean, flag: raw[0] == 't'}, nil
		}
		return Value{}, errors.Errorf("value %.60s must be true or false", raw)
	case KindText:
		return s.decodeText(raw)
	default:
		return s.decodeNumber(raw)
	}
}

func (s *Spec) decodeText(raw json.RawMessage) (Value, error) {
	var text string
	if err := json.Unmarshal(raw, &text); err != nil || len(raw) == 0 || raw[0] != '"' {
		return Value{}, errors.Errorf("value %.60s must be a text", raw)
	}
	if err := CheckIdentifier(text); err != nil {
		return Value{}, err
	}
	return Value{kind: KindText, text: text}, nil
}

func (s *Spec) decodeNumber(raw json.RawMessage) (Value, error) {
	number, err := strconv.ParseFloat(string(raw), 64)
	if err != nil || !json.Valid(raw) {
		return Value{}, errors.Errorf("value %.60s must be a %s", raw, s.Kind)
	}
	if s.Kind != KindNumber && number != math.Trunc(number) {
		return Value{}, errors.Errorf("value %s must be a whole number", raw)
	}
	if number < s.Min || number > s.Max {
		return Value{}, errors.Errorf("value %s is outside the range from %s to %s %s", raw, formatNumber(s.Min), formatNumber(s.Max), s.Unit)
	}
	return Value{kind: s.Kind, number: number}, nil
}

// checkChoice rejects a text that the running binary does not know.
func (s *Spec) checkChoice(value Value) error {
	if s.Choices == nil {
		return nil
	}
	choices := s.Choices()
	if len(choices) == 0 || slices.Contains(choices, value.text) {
		return nil
	}
	return errors.Errorf("value %q must be one of %s", value.text, strings.Join(choices, ", "))
}

func formatNumber(number float64) string { return strconv.FormatFloat(number, 'f', -1, 64) }
