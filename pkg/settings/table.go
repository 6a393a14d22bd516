package settings

import (
	"fmt"
	"sort"

	"github.com/baobabspool/baobabspool/pkg/spool"
)

// ConflictError means that a change was rejected because the same table entry was
// changed after the author of the rejected change had read it.
type ConflictError struct {
	// Path is the name of the table entry: for settings the text form of the path.
	Path string
	// Base is the offset up to which the author of the rejected change had read.
	Base spool.Offset
	// ChangedAt is the offset of the latest change of the entry. If the table no longer
	// contains the entry, ChangedAt is an upper bound of that offset, and the entry may
	// never have existed.
	ChangedAt spool.Offset
}

// Error returns a message with the name of the entry and both offsets.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("%s was changed at offset %d, after offset %d that this change is based on", e.Path, e.ChangedAt, e.Base)
}

// Entry is one value of a Table and the offset of its latest change. It is unrelated
// to the processes that are called entries.
type Entry[T any] struct {
	// Value is the zero value if Removed is true.
	Value T `json:"value"`
	// Offset is the offset of the change that set or removed the value.
	Offset spool.Offset `json:"offset"`
	// Removed is true for a tombstone, which replaces a removed value. The tombstone is
	// kept until Sweep, so that a change based on an older offset is still detected as
	// a conflict.
	Removed bool `json:"removed,omitempty"`
}

// Table maps names to values with the offsets of their latest changes, and checks
// compare-and-set. Its state depends only on the calls made, not on a clock, so all
// readers that apply the same stream have the same state. It is not safe for
// concurrent use.
type Table[T any] struct {
	entries map[string]Entry[T]
	// sweptThrough is the highest offset of the tombstones that Sweep has deleted; 0
	// for none. A change of an absent entry must be based on this offset or a later
	// one, since the entry may have been removed at this offset.
	sweptThrough spool.Offset
}

// NewTable returns an empty table.
func NewTable[T any]() *Table[T] { return &Table[T]{entries: map[string]Entry[T]{}} }

// Check returns a *ConflictError if the entry was changed after offset base. For an
// entry that is not in the table it compares base with the highest offset that Sweep
// has deleted, because the entry may have been changed up to that offset.
func (t *Table[T]) Check(name string, base spool.Offset) error {
	changedAt := t.sweptThrough
	if entry, ok := t.entries[name]; ok {
		changedAt = entry.Offset
	}
	if changedAt > base {
		return &ConflictError{Path: name, Base: base, ChangedAt: changedAt}
	}
	return nil
}

// Put sets the value of an entry. offset is the offset of the change. Put does not call
// Check.
func (t *Table[T]) Put(name string, value T, offset spool.Offset) {
	t.entries[name] = Entry[T]{Value: value, Offset: offset}
}

// Remove replaces an entry by a tombstone with the offset of the change. It adds the
// tombstone even if there was no such entry.
func (t *Table[T]) Remove(name string, offset spool.Offset) {
	t.entries[name] = Entry[T]{Offset: offset, Removed: true}
}

// Get returns the entry with the given name. It returns false if there is none or if it
// is a tombstone.
func (t *Table[T]) Get(name string) (Entry[T], bool) {
	entry, ok := t.entries[name]
	return entry, ok && !entry.Removed
}

// Len returns the number of entries, including tombstones.
func (t *Table[T]) Len() int { return len(t.entries) }

// Names returns the names of the entries that are not tombstones, sorted.
func (t *Table[T]) Names() []string {
	names := make([]string, 0, len(t.entries))
	for name, entry := range t.entries {
		if !entry.Removed {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	return names
}

// Sweep deletes the tombstones with an offset of at most through. Without it the table
// would grow with every removal.
func (t *Table[T]) Sweep(through spool.Offset) {
	for name, entry := range t.entries {
		if entry.Removed && entry.Offset <= through {
			t.sweptThrough = max(t.sweptThrough, entry.Offset)
			delete(t.entries, name)
		}
	}
}

// TableImage is the serializable form of a table.
type TableImage[T any] struct {
	Entries map[string]Entry[T] `json:"entries,omitempty"`
	// SweptThrough is the highest offset of the tombstones that Sweep has deleted.
	SweptThrough spool.Offset `json:"floor,omitempty"`
}

// Image returns the serializable form of the table. The image shares its map with the
// table, so it must be encoded or copied before the next change of the table.
func (t *Table[T]) Image() TableImage[T] {
	return TableImage[T]{Entries: t.entries, SweptThrough: t.sweptThrough}
}

// NewTableFrom restores a table from its image. It copies the entries.
func NewTableFrom[T any](image TableImage[T]) *Table[T] {
	table := NewTable[T]()
	table.sweptThrough = image.SweptThrough
	for name, entry := range image.Entries {
		table.entries[name] = entry
	}
	return table
}
