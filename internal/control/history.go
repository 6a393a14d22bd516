package control

import (
	"context"
	"encoding/json"

	"github.com/pkg/errors"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/settings"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// Event is one change of a path in the past.
type Event struct {
	// Path is what was changed.
	Path string `json:"path"`
	// Offset is the version.
	Offset spool.Offset `json:"offset"`
	// At and Writer are the author's clock and name; they are not known of a
	// value that comes from a snapshot.
	At     clock.Millis `json:"atMs,omitempty"`
	Writer spool.NodeID `json:"writer,omitempty"`
	// Value is what a setting was set to; null when it was unset.
	Value json.RawMessage `json:"value"`
	// Applied is false for a change that lost or was not valid; Reason says why.
	Applied bool   `json:"applied"`
	Reason  string `json:"reason,omitempty"`
}

// ErrNotKept means that no change of the path was applied at an offset, or that
// retention has removed it.
var ErrNotKept = errors.New("history holds no applied change at that offset")

// History lists the changes of path that the log still holds, oldest first. The
// first may come from a snapshot. complete tells that nothing was removed.
func History(ctx context.Context, log spool.Log, path string) (events []Event, complete bool, err error) {
	defer func() { err = errors.Wrapf(err, "history of %s", path) }()
	complete = true
	_, err = follow(ctx, log, NewState(), followHooks{
		onSnapshot: func(state *State) {
			events, complete = append(events[:0], snapshotEvents(state, path)...), false
		},
		onBatch: func(batch spool.Batch, rejected []Rejection) {
			events = append(events, batchEvents(batch, rejected, path)...)
		},
	})
	return events, complete, err
}

func snapshotEvents(state *State, path string) []Event {
	parsed, err := settings.ParsePath(path)
	if err != nil {
		return nil
	}
	raw, offset, ok := state.tree.Get(parsed)
	if !ok {
		return nil
	}
	return []Event{{Path: path, Offset: offset, Value: raw, Applied: true}}
}

func batchEvents(batch spool.Batch, rejected []Rejection, path string) (events []Event) {
	for i, record := range batch.Records {
		content, err := DecodeRecord(record)
		if err != nil {
			continue
		}
		changedPath, _ := Identify(content)
		if changedPath != path {
			continue
		}
		event := Event{Path: changedPath, Offset: batch.Offset, At: batch.At, Writer: batch.Writer, Applied: true, Value: settingValue(content)}
		for _, rejection := range rejected {
			if rejection.Index == i {
				event.Applied, event.Reason = false, rejection.Err.Error()
			}
		}
		events = append(events, event)
	}
	return events
}

// valueOf returns the value of a change, and null for other records: a key's
// salt and hash are of no use to a reader of the history.
func settingValue(content any) json.RawMessage {
	if change, ok := content.(settings.Change); ok && !change.Unsets() {
		return change.Value
	}
	return json.RawMessage("null")
}

// ValueAt returns what a path was set to by the change at an offset, from its
// history; null means that the change unset it. It fails with ErrNotKept.
func ValueAt(events []Event, at spool.Offset) (json.RawMessage, error) {
	for _, event := range events {
		if event.Applied && event.Offset == at {
			return event.Value, nil
		}
	}
	return nil, errors.Wrapf(ErrNotKept, "offset %d", at)
}
