package settings

import (
	"fmt"
	"sort"

	"github.com/baobabspool/baobabspool/pkg/spool"
)

// ConflictError means that an entry was changed after its author had read it. The
// author's change is not applied.
type ConflictError struct {
	// Path is the name of the entry, for settings the path.
	Path string
	// Base is the offset up to which the author had read.
	Base spool.Offset
	// ChangedAt is the offset of the later change. For an entry that was removed and
	// swept, it is an upper bound of that offset.
	ChangedAt spool.Offset
}

// Error returns a message with the name of the entry and both offsets.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("%s was changed at offset %d, after offset %d that this change is based on", e.Path, e.ChangedAt, e.Base)
}

// Entry is one versioned value.
type Entry[T any] struct {
	// Value is the zero value if Removed is true.
	Value T `json:"value"`
	// Offset is the offset of the change that set or removed the value.
	Offset spool.Offset `json:"offset"`
	// Removed is true for a tombstone. It is kept so that a change based on an older
	// offset is still detected as a conflict.
	Removed bool `json:"removed,omitempty"`
}

// Table holds versioned entries by name and checks compare-and-set. Its state
// depends only on the calls made, not on a clock, so all readers of a stream agree.
// It is not safe for concurrent use.
type Table[T any] struct {
	entries map[string]Entry[T]
	// sweptThrough is the highest offset of the removed entries that Sweep has
	// dropped. A change of an absent entry must be based on this offset or a later one.
	sweptThrough spool.Offset
}

// NewTable returns an empty table.
func NewTable[T any]() *Table[T] { return &Table[T]{entries: map[string]Entry[T]{}} }

// Check returns a *ConflictError if the entry was changed after offset base.
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

// Put sets the value of an entry.
func (t *Table[T]) Put(name string, value T, offset spool.Offset) {
	t.entries[name] = Entry[T]{Value: value, Offset: offset}
}

// Remove marks an entry as removed.
func (t *Table[T]) Remove(name string, offset spool.Offset) {
	t.entries[name] = Entry[T]{Offset: offset, Removed: true}
}

// Get returns the entry. It returns false if the entry is absent or removed.
func (t *Table[T]) Get(name string) (Entry[T], bool) {
	entry, ok := t.entries[name]
	return entry, ok && !entry.Removed
}

// Len returns the number of entries, including removed ones.
func (t *Table[T]) Len() int { return len(t.entries) }

// Names returns the names of the entries that are not removed, sorted.
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

// Sweep drops the entries that were removed at or before offset through. This bounds
// the table to the entries in force and the recent removals.
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
	// Floor is the highest offset of the removed entries that Sweep has dropped.
	SweptThrough spool.Offset `json:"floor,omitempty"`
}

// Image returns the serializable form. It shares the entries with the table.
func (t *Table[T]) Image() TableImage[T] {
	return TableImage[T]{Entries: t.entries, SweptThrough: t.sweptThrough}
}

// NewTableFrom restores a table from its image.
func NewTableFrom[T any](image TableImage[T]) *Table[T] {
	table := NewTable[T]()
	table.sweptThrough = image.SweptThrough
	for name, entry := range image.Entries {
		table.entries[name] = entry
	}
	return table
}
