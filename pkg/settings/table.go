package settings

import (
	"fmt"
	"sort"

	"github.com/baobabspool/baobabspool/pkg/spool"
)

// ConflictError means that an entry has changed since the author read it, so
// the author's change was not applied.
type ConflictError struct {
	// Path names the entry.
	Path string
	// Base is the offset up to which the author had read.
	Base spool.Offset
	// ChangedAt is the offset of the later change.
	ChangedAt spool.Offset
}

// Error names the entry and both offsets.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("%s was changed at offset %d, after offset %d that this change is based on", e.Path, e.ChangedAt, e.Base)
}

// Entry is one versioned value.
type Entry[T any] struct {
	// Value is the zero value when Removed is set.
	Value T `json:"value"`
	// Offset is where the value was set or removed.
	Offset spool.Offset `json:"offset"`
	// Removed marks an entry that is kept only so that a change based on an
	// older offset is still recognised as a conflict.
	Removed bool `json:"removed,omitempty"`
}

// Table holds versioned entries and decides on compare-and-set. Its content
// depends only on the calls made, so all readers of a stream agree. It is not
// safe for concurrent use.
type Table[T any] struct {
	entries map[string]Entry[T]
	// floor is the highest offset of a removed entry that has been forgotten. A
	// change of an absent entry must be based on a later offset.
	sweptThrough spool.Offset
}

// NewTable returns an empty table.
func NewTable[T any]() *Table[T] { return &Table[T]{entries: map[string]Entry[T]{}} }

// Check returns a *ConflictError when name changed after base.
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

// Put sets the value of name.
func (t *Table[T]) Put(name string, value T, offset spool.Offset) {
	t.entries[name] = Entry[T]{Value: value, Offset: offset}
}

// Remove marks name as removed.
func (t *Table[T]) Remove(name string, offset spool.Offset) {
	t.entries[name] = Entry[T]{Offset: offset, Removed: true}
}

// Get returns the entry of name unless it is absent or removed.
func (t *Table[T]) Get(name string) (Entry[T], bool) {
	entry, ok := t.entries[name]
	return entry, ok && !entry.Removed
}

// Len counts the entries, removed ones included.
func (t *Table[T]) Len() int { return len(t.entries) }

// Names lists the entries that are not removed, in order.
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

// Sweep forgets the removed entries up to offset through, which bounds the
// table by what is in force plus the recent removals.
func (t *Table[T]) Sweep(through spool.Offset) {
	for name, entry := range t.entries {
		if entry.Removed && entry.Offset <= through {
			t.sweptThrough = max(t.sweptThrough, entry.Offset)
			delete(t.entries, name)
		}
	}
}

// TableImage is the serialised form of a table.
type TableImage[T any] struct {
	Entries map[string]Entry[T] `json:"entries,omitempty"`
	Floor   spool.Offset        `json:"floor,omitempty"`
}

// Image returns the serialised form. It shares the entries with the table.
func (t *Table[T]) Image() TableImage[T] {
	return TableImage[T]{Entries: t.entries, Floor: t.sweptThrough}
}

// NewTableFrom rebuilds a table from its image.
func NewTableFrom[T any](image TableImage[T]) *Table[T] {
	table := NewTable[T]()
	table.sweptThrough = image.Floor
	for name, entry := range image.Entries {
		table.entries[name] = entry
	}
	return table
}
