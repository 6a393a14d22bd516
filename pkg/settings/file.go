package settings

import (
	"encoding/json"
	"strconv"

	"github.com/pkg/errors"
	"go.uber.org/multierr"
	"go.yaml.in/yaml/v3"
)

// fileVersion is the only supported version of the settings file.
const fileVersion = 1

// maxFileBytes bounds the size of a settings file; ParseFile rejects larger ones.
const maxFileBytes = 4 << 20

// ParseFile reads a settings file in YAML or JSON:
//
//	version: 1
//	settings:
//	  fleet/limit.burst: 100
//	  account/acme/limit.burst: null   # unsets the value
//
// A null value unsets the setting. ParseFile returns all errors at once, except that a
// file that is too large or not a YAML mapping yields one error. An error in the format
// contains the line, an error of Validate the path. The returned changes have passed
// Validate; their Base is 0.
func ParseFile(data []byte) (changes []Change, err error) {
	defer func() { err = errors.Wrap(err, "settings file") }()
	if len(data) > maxFileBytes {
		return nil, errors.Errorf("is larger than %d bytes", maxFileBytes)
	}
	var document yaml.Node
	if err := yaml.Unmarshal(data, &document); err != nil {
		return nil, err
	}
	if len(document.Content) != 1 || document.Content[0].Kind != yaml.MappingNode {
		return nil, errors.New("must be a mapping with version and settings")
	}
	root := document.Content[0]
	version, settingsNode, problems := splitDocument(root)
	if version != strconv.Itoa(fileVersion) {
		problems = multierr.Append(problems, errors.Errorf("version is %q, want %d", version, fileVersion))
	}
	if settingsNode == nil {
		return nil, multierr.Append(problems, errors.New("settings are missing"))
	}
	for i := 0; i+1 < len(settingsNode.Content); i += 2 {
		change, problem := decodeChange(settingsNode.Content[i], settingsNode.Content[i+1])
		if problem != nil {
			problems = multierr.Append(problems, errors.Wrapf(problem, "line %d", settingsNode.Content[i].Line))
			continue
		}
		changes = append(changes, change)
	}
	problems = multierr.Append(problems, Validate(changes))
	if problems != nil {
		return nil, problems
	}
	return changes, nil
}

// splitDocument returns the version and the mapping of the settings; empty and nil if
// they are missing. problems has one error for each other key of the document.
func splitDocument(root *yaml.Node) (version string, settingsNode *yaml.Node, problems error) {
	for i := 0; i+1 < len(root.Content); i += 2 {
		key, value := root.Content[i], root.Content[i+1]
		switch {
		case key.Value == "version" && value.Kind == yaml.ScalarNode:
			version = value.Value
		case key.Value == "settings" && value.Kind == yaml.MappingNode && settingsNode == nil:
			settingsNode = value
		default:
			problems = multierr.Append(problems, errors.Errorf("line %d: %q is unknown, repeated or of the wrong type", key.Line, key.Value))
		}
	}
	return version, settingsNode, problems
}

// decodeChange returns the change for one key and value of the settings mapping. It does
// not check the value.
func decodeChange(key, value *yaml.Node) (change Change, err error) {
	if key.Kind != yaml.ScalarNode {
		return Change{}, errors.New("path must be a text")
	}
	if change.Path, err = ParsePath(key.Value); err != nil {
		return Change{}, err
	}
	if value.Kind != yaml.ScalarNode {
		return Change{}, errors.Errorf("%s: value must be a number, a boolean, a text or null", change.Path)
	}
	switch value.Tag {
	case "!!null":
	case "!!str":
		change.Value, err = json.Marshal(value.Value)
	default:
		change.Value = json.RawMessage(value.Value)
	}
	return change, err
}

// ParseValue converts a value from the command line to JSON. The value of a text
// setting needs no quotes. ParseValue does not validate the value; Check does.
func ParseValue(path Path, text string) json.RawMessage {
	if spec, ok := Lookup(path.Name); ok && spec.Kind == KindText {
		quoted, _ := json.Marshal(text)
		return quoted
	}
	return json.RawMessage(text)
}
