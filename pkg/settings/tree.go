// Package settings holds the typed settings that operators publish. It contains the
// registry of known settings, the tree of levels with compare-and-set, validation,
// the explanation of a value in force, and the parser of settings files.
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

// Change sets or unsets one value. It is a record of the control stream.
type Change struct {
	// Path names the value.
	Path Path `json:"path"`
	// Value is the new value in JSON. If it is null or empty, the change unsets the
	// setting at Path.
	Value json.RawMessage `json:"value,omitempty"`
	// Base is the offset up to which the author had read the control stream when
	// deciding on the change. The change is rejected if another change of the same
	// path has a higher offset.
	Base spool.Offset `json:"base"`
}

// Unsets reports whether the change removes the value.
func (c Change) Unsets() bool {
	return len(c.Value) == 0 || bytes.Equal(bytes.TrimSpace(c.Value), []byte("null"))
}

// Check checks the change against the registry and decodes its value. The result
// does not depend on the state of the tree or on the clock, so that all readers of
// the control stream accept or reject the same changes. The value is the zero Value
// for a change that unsets.
func (c Change) Check() (Value, error) {
	if c.Unsets() {
		_, err := checkPath(c.Path)
		return Value{}, errors.Wrap(err, c.Path.String())
	}
	return Check(c.Path, c.Value)
}

// Validate checks changes before they are published. It returns all errors at once,
// each with its path and reason. In addition to Check, it rejects policies that are
// not registered in the running binary and paths that occur twice.
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

// valueSet maps the name of each setting that is set at one target to its value. A
// valueSet in a tree is replaced, never modified, so that Values can be read without
// a lock.
type valueSet map[string]Entry[Value]

// Tree holds every value that is set. It is not safe for concurrent use, but the
// Values that it returns are.
type Tree struct {
	// table maps the text form of each path to its JSON value, for compare-and-set and
	// the image.
	table *Table[json.RawMessage]
	// byTarget maps each target to the decoded values of its settings without a key.
	// Targets without a value are absent.
	byTarget map[Target]valueSet
	// keyed maps the path of each keyed setting that is set to its decoded value.
	keyed map[Path]Value
}

// NewTree returns a tree in which every setting has its default.
func NewTree() *Tree { return newTree(NewTable[json.RawMessage]()) }

func newTree(table *Table[json.RawMessage]) *Tree {
	return &Tree{table: table, byTarget: map[Target]valueSet{}, keyed: map[Path]Value{}}
}

// NewTreeFrom restores a tree from its image. It fails if a path does not parse. A
// value that fails Check stays in the table, but its setting reads as unset.
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
			// A newer version of the software may accept the value. The table keeps
			// the value for compare-and-set and for nodes that load this node's image.
			continue
		}
		tree.updateIndex(path, Entry[Value]{Value: value, Offset: entry.Offset})
	}
	return tree, nil
}

// Image returns the serializable form of the tree. The image shares its map with the
// tree, so it must be encoded or copied before the next change of the tree.
func (t *Tree) Image() TableImage[json.RawMessage] { return t.table.Image() }

// CheckBase returns a *ConflictError if the value at change.Path was set or unset at an
// offset above change.Base, and nil otherwise.
func (t *Tree) CheckBase(change Change) error {
	return t.table.Check(change.Path.String(), change.Base)
}

// Apply stores the change that was published at offset. The caller must call CheckBase
// first. If change.Check fails, Apply returns its error and leaves the tree unchanged.
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

// Sweep deletes the tombstones of values that were unset at or before offset through.
// It also deletes the values of programs that were set at or before that offset: no
// record of the control stream says that a program has ended, so they would otherwise
// stay forever.
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

// Len returns the number of values that are set, or unset and not yet swept.
func (t *Tree) Len() int { return t.table.Len() }

// updateIndex updates byTarget or keyed after the table entry of path was changed to
// entry.
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

// ValuesFor returns the values in force for scope. Later changes of the tree do not
// affect them.
func (t *Tree) ValuesFor(scope Scope) Values {
	values := Values{scope: scope}
	for level, target := range scope.targets() {
		values.byLevel[level] = t.byTarget[target]
	}
	return values
}

// KeyedBoolean returns the value of a keyed boolean setting for key. It returns false
// if no value is set for key.
func (t *Tree) KeyedBoolean(name Boolean, key string) bool {
	return t.keyed[Path{Target: Target{Level: LevelFleet}, Name: string(name), Key: key}].flag
}

// KeysSetToTrue returns the keys for which a keyed boolean setting is true, sorted.
func (t *Tree) KeysSetToTrue(name Boolean) []string {
	var keys []string
	for path, value := range t.keyed {
		if path.Name == string(name) && value.flag {
			keys = append(keys, path.Key)
		}
	}
	sort.Strings(keys)
	return keys
}

// Get returns the value that is set at exactly this path, and the offset of the
// change that set it. It returns false if no value is set there.
func (t *Tree) Get(path Path) (json.RawMessage, spool.Offset, bool) {
	entry, ok := t.table.Get(path.String())
	return entry.Value, entry.Offset, ok
}

// Paths returns the text forms of the paths that have a value and start with prefix,
// sorted.
func (t *Tree) Paths(prefix string) []string {
	var paths []string
	for _, name := range t.table.Names() {
		if strings.HasPrefix(name, prefix) {
			paths = append(paths, name)
		}
	}
	return paths
}

// Values holds the settings that were in force for one scope when Tree.ValuesFor was
// called. It does not change and is safe for concurrent use. A setting that is not
// set in the scope has its default.
type Values struct {
	scope   Scope
	byLevel [levelCount]valueSet
}

// value returns the value set at the narrowest level, or the default if no level sets
// one. It returns the zero Value for an unknown setting.
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

// Number returns the value of a setting in the unit of its Spec.
func (v Values) Number(name Number) float64 { return v.value(string(name)).number }

// Integer returns the value of a setting in the unit of its Spec.
func (v Values) Integer(name Integer) int { return int(v.value(string(name)).number) }

// Duration returns the value of a setting in milliseconds.
func (v Values) Duration(name Duration) clock.Millis {
	return clock.Millis(v.value(string(name)).number)
}

// Boolean returns the value of a setting that is true or false.
func (v Values) Boolean(name Boolean) bool { return v.value(string(name)).flag }

// Text returns the value of a setting with a text value, without quotes.
func (v Values) Text(name Text) string { return v.value(string(name)).text }

// Options maps the names of all number, integer and duration settings to their values,
// durations in milliseconds. The constructors of policies read their parameters from
// it.
func (v Values) Options() spool.Options {
	options := spool.Options{}
	for name, spec := range registry {
		if spec.Kind != KindText && spec.Kind != KindBoolean {
			options[name] = v.value(name).number
		}
	}
	return options
}

// Layer is the value that one level sets for a setting, as part of an explanation.
type Layer struct {
	// Level is the name of the level, or "default".
	Level string `json:"level"`
	// ID is the region, failure domain, account or program; empty for the fleet and
	// the default.
	ID string `json:"id,omitempty"`
	// Value is the value that the level sets.
	Value Value `json:"value"`
	// Offset is the offset of the change that set the value; 0 for the default.
	Offset spool.Offset `json:"offset,omitempty"`
	// InForce is true for the narrowest layer, whose value overrides the others.
	InForce bool `json:"inForce"`
}

// Explain returns one layer for each level of the scope that sets the setting name,
// narrowest first, and then the default. The first layer is in force. Explain returns
// nil for an unknown setting.
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
