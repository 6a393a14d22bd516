// Package settings holds the typed settings that operators publish: the
// registry of known settings, the tree of levels, validation, compare-and-set,
// explanation and the settings file.
package settings

import (
	"bytes"
	"encoding/json"
	"maps"
	"sort"
	"strings"

	"github.com/pkg/errors"
	"go.uber.org/multierr"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// Change sets or unsets one value. It is the record on the control stream.
type Change struct {
	// Path names the value.
	Path Path `json:"path"`
	// Value is JSON; null or absent unsets the value.
	Value json.RawMessage `json:"value,omitempty"`
	// Base is the offset up to which the author had read when it decided on the
	// change. The change is rejected when the value was changed later.
	Base spool.Offset `json:"base"`
}

// Unsets reports whether the change removes the value.
func (c Change) Unsets() bool {
	return len(c.Value) == 0 || bytes.Equal(bytes.TrimSpace(c.Value), []byte("null"))
}

// Check checks the change against the registry. The result depends on the
// change only, so that all readers agree.
func (c Change) Check() (Value, error) {
	if c.Unsets() {
		_, err := checkPath(c.Path)
		return Value{}, errors.Wrap(err, c.Path.String())
	}
	return Check(c.Path, c.Value)
}

// Validate checks changes before they are published and returns all errors at
// once, each with its path and reason. It also rejects policies that the
// running binary does not have and paths that are named twice.
func Validate(changes []Change) (err error) {
	seen := map[Path]bool{}
	for _, change := range changes {
		if seen[change.Path] {
			err = multierr.Append(err, errors.Errorf("%s: is named twice", change.Path))
		}
		seen[change.Path] = true
		value, problem := change.Check()
		if problem == nil && !change.Unsets() {
			spec, _ := Lookup(change.Path.Name)
			problem = errors.Wrap(spec.checkChoice(value), change.Path.String())
		}
		err = multierr.Append(err, problem)
	}
	return err
}

// node holds the values set at one target. It is immutable once published, so
// that Values can be used without a lock.
type valueSet map[string]Entry[Value]

// Tree holds every value that is set. It is not safe for concurrent use, but
// the Values it returns are.
type Tree struct {
	table    *Table[json.RawMessage]
	byTarget map[Target]valueSet
	// keyed holds the settings with one value per endpoint, by path.
	keyed map[Path]Value
}

// NewTree returns a tree in which every setting has its default.
func NewTree() *Tree { return newTree(NewTable[json.RawMessage]()) }

func newTree(table *Table[json.RawMessage]) *Tree {
	return &Tree{table: table, byTarget: map[Target]valueSet{}, keyed: map[Path]Value{}}
}

// NewTreeFrom rebuilds a tree from its image.
func NewTreeFrom(image TableImage[json.RawMessage]) (tree *Tree, err error) {
	defer func() { err = errors.Wrap(err, "restore settings") }()
	tree = newTree(NewTableFrom(image))
	for name, entry := range image.Entries {
		path, err := ParsePath(name)
		if err != nil {
			return nil, err
		}
		if entry.Removed {
			continue
		}
		value, err := Check(path, entry.Value)
		if err != nil {
			// A newer version of the registry may know the value. It is kept for
			// compare-and-set and for those who pull from this node.
			continue
		}
		tree.updateIndex(path, Entry[Value]{Value: value, Offset: entry.Offset})
	}
	return tree, nil
}

// Image returns the serialised form.
func (t *Tree) Image() TableImage[json.RawMessage] { return t.table.Image() }

// CheckBase returns a *ConflictError when the value changed after the base.
func (t *Tree) CheckBase(change Change) error {
	return t.table.Check(change.Path.String(), change.Base)
}

// Apply applies a change that passed Check and CheckBase.
func (t *Tree) Apply(change Change, offset spool.Offset) error {
	value, err := change.Check()
	if err != nil {
		return err
	}
	entry := Entry[Value]{Value: value, Offset: offset, Removed: change.Unsets()}
	if entry.Removed {
		t.table.Remove(change.Path.String(), offset)
	} else {
		raw, _ := value.MarshalJSON()
		t.table.Put(change.Path.String(), raw, offset)
	}
	t.updateIndex(change.Path, entry)
	return nil
}

// Sweep forgets the offsets of values that were unset up to offset through, and
// the values of programs that were set up to there: programs end, but no record
// says so on the control stream.
func (t *Tree) Sweep(through spool.Offset) {
	for _, name := range t.Paths(LevelProgram.String() + "/") {
		path, err := ParsePath(name)
		entry, _ := t.table.Get(name)
		if err != nil || entry.Offset > through {
			continue
		}
		t.table.Remove(name, entry.Offset)
		t.updateIndex(path, Entry[Value]{Removed: true})
	}
	t.table.Sweep(through)
}

// Len counts the values that are set or recently unset.
func (t *Tree) Len() int { return t.table.Len() }

func (t *Tree) updateIndex(path Path, entry Entry[Value]) {
	if path.Key != "" {
		if entry.Removed {
			delete(t.keyed, path)
		} else {
			t.keyed[path] = entry.Value
		}
		return
	}
	updated := maps.Clone(t.byTarget[path.Target])
	if updated == nil {
		updated = valueSet{}
	}
	updated[path.Name] = entry
	if entry.Removed {
		delete(updated, path.Name)
	}
	t.byTarget[path.Target] = updated
	if len(updated) == 0 {
		delete(t.byTarget, path.Target)
	}
}

// At returns the values that hold for scope.
func (t *Tree) At(scope Scope) Values {
	values := Values{scope: scope}
	for level, target := range scope.targets() {
		values.byLevel[level] = t.byTarget[target]
	}
	return values
}

// Flag returns the value of a boolean setting that has one value per endpoint.
func (t *Tree) Flag(name Boolean, key string) bool {
	return t.keyed[Path{Target: Target{Level: LevelFleet}, Name: string(name), Key: key}].flag
}

// Flagged lists the keys for which a keyed boolean setting is true, in order.
func (t *Tree) Flagged(name Boolean) []string {
	var keys []string
	for path, value := range t.keyed {
		if path.Name == string(name) && value.flag {
			keys = append(keys, path.Key)
		}
	}
	sort.Strings(keys)
	return keys
}

// Get returns the value that is set at exactly path, and the offset of it.
func (t *Tree) Get(path Path) (json.RawMessage, spool.Offset, bool) {
	entry, ok := t.table.Get(path.String())
	return entry.Value, entry.Offset, ok
}

// Paths lists the paths that have a value and start with prefix, in order.
func (t *Tree) Paths(prefix string) []string {
	var paths []string
	for _, name := range t.table.Names() {
		if strings.HasPrefix(name, prefix) {
			paths = append(paths, name)
		}
	}
	return paths
}

// Values are the settings of one scope at one instant. It is safe for
// concurrent use and does not change.
type Values struct {
	scope   Scope
	byLevel [levelCount]valueSet
}

func (v Values) value(name string) Value {
	for level := levelCount - 1; level >= 0; level-- {
		if entry, ok := v.byLevel[level][name]; ok {
			return entry.Value
		}
	}
	if spec, ok := registry[name]; ok {
		return spec.Default
	}
	return Value{}
}

// Number returns the value of a setting in its unit.
func (v Values) Number(name Number) float64 { return v.value(string(name)).number }

// Integer returns the value of a setting in its unit.
func (v Values) Integer(name Integer) int { return int(v.value(string(name)).number) }

// Duration returns the value of a setting in milliseconds.
func (v Values) Duration(name Duration) clock.Millis {
	return clock.Millis(v.value(string(name)).number)
}

// Boolean returns the value of a setting.
func (v Values) Boolean(name Boolean) bool { return v.value(string(name)).flag }

// Text returns the value of a setting.
func (v Values) Text(name Text) string { return v.value(string(name)).text }

// Options returns every numeric setting by name, for the constructors of
// policies.
func (v Values) Options() spool.Options {
	options := spool.Options{}
	for name, spec := range registry {
		if spec.Kind != KindText && spec.Kind != KindBoolean {
			options[name] = v.value(name).number
		}
	}
	return options
}

// Layer is one level's part in the value of a setting.
type Layer struct {
	// Level is a level, or "default".
	Level string `json:"level"`
	// ID is the region, failure domain, account or program.
	ID string `json:"id,omitempty"`
	// Value is what the level sets.
	Value Value `json:"value"`
	// Offset is where it was set; 0 for the default.
	Offset spool.Offset `json:"offset,omitempty"`
	// InForce marks the level that decides.
	InForce bool `json:"inForce"`
}

// Explain lists the levels that set name, narrowest first, ending with the
// default. The first is in force. It returns nil for an unknown setting.
func (v Values) Explain(name string) []Layer {
	spec, ok := Lookup(name)
	if !ok {
		return nil
	}
	var layers []Layer
	targets := v.scope.targets()
	for level := levelCount - 1; level >= 0; level-- {
		if entry, ok := v.byLevel[level][name]; ok {
			layers = append(layers, Layer{Level: level.String(), ID: targets[level].ID, Value: entry.Value, Offset: entry.Offset})
		}
	}
	layers = append(layers, Layer{Level: "default", Value: spec.Default})
	layers[0].InForce = true
	return layers
}
