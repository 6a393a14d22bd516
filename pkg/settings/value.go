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

// Kind is the type of a setting's value; empty for the zero Value.
type Kind string

// The kinds of values. An integer is a whole number, and a duration is a whole number
// of milliseconds.
const (
	KindNumber   Kind = "number"
	KindInteger  Kind = "integer"
	KindDuration Kind = "duration"
	KindBoolean  Kind = "boolean"
	KindText     Kind = "text"
)

// Value is the value of a setting. The zero Value means that no value is set.
type Value struct {
	kind Kind
	// number is the value of a number, integer or duration; flag is the value of a
	// boolean; text is the value of a text.
	number float64
	flag   bool
	text   string
}

// String returns the JSON form of the value, but a text without quotes. It returns ""
// for the zero Value.
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

// MarshalJSON returns a JSON number, boolean or string, and null for the zero Value.
func (v Value) MarshalJSON() ([]byte, error) {
	if v.kind == KindText {
		return json.Marshal(v.text)
	}
	if v.kind == "" {
		return []byte("null"), nil
	}
	return []byte(v.String()), nil
}

// Spec describes a setting of the registry.
type Spec struct {
	// Name is the setting's name.
	Name string
	// Kind is the type of the value.
	Kind Kind
	// Unit is the unit in the reference and in error messages, for example "ms"; empty
	// for a boolean or a text.
	Unit string
	// Min and Max are the inclusive bounds of a number, integer or duration.
	Min, Max float64
	// Default is the value in force if no level sets one.
	Default Value
	// Levels lists the levels at which the setting may be set.
	Levels []Level
	// Keyed is true if the setting has a separate value for each endpoint or entry,
	// which the path names in brackets.
	Keyed bool
	// Choices returns the accepted values of a text setting. If Choices is nil or
	// returns none, every identifier is accepted. Only Validate calls it, before
	// publishing. Check does not, because the choices depend on the policies that are
	// registered in the running binary, and readers of different versions must accept
	// or reject the same records.
	Choices func() []string
	// Description is the meaning of the setting, one line in the reference.
	Description string
}

// Check checks the path against the registry and decodes raw as a value of the
// setting. It rejects a value of the wrong type or outside the bounds, but does not
// check the choices of a text. The result depends only on the arguments and the
// registry. Errors contain the path and the reason.
func Check(path Path, raw json.RawMessage) (value Value, err error) {
	defer func() { err = errors.Wrap(err, path.String()) }()
	spec, err := checkPath(path)
	if err != nil {
		return Value{}, err
	}
	return spec.decode(raw)
}

// checkPath returns the spec of the setting that path names. It fails if the setting
// does not exist, may not be set at the level of the path, or if the path has a key
// although the setting is not keyed, or the reverse.
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

// decode decodes raw as a value of the setting. It fails if the type or the range is
// wrong.
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

// decodeText decodes a JSON string that is a valid identifier.
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

// decodeNumber decodes a JSON number from s.Min to s.Max. Unless the kind is KindNumber,
// it must be whole.
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

// checkChoice returns an error if the setting has choices in the running binary and
// value is not one of them.
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
