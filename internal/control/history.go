package control

import (
	"context"
	"encoding/json"

	"github.com/pkg/errors"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/settings"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// Event is one past change of a path.
type Event struct {
	// Path is the changed path, as returned by Identify.
	Path string `json:"path"`
	// Offset is the offset of the batch that holds the change.
	Offset spool.Offset `json:"offset"`
	// At is the time on the writer's clock and Writer the author of the batch.
	// Both are empty for a value that comes from a snapshot.
	At     clock.Millis `json:"atMs,omitempty"`
	Writer spool.NodeID `json:"writer,omitempty"`
	// Value is the new value of a setting. It is null if the setting was unset and
	// for changes of anything other than settings.
	Value json.RawMessage `json:"value"`
	// Applied is false if the change was rejected because of a conflict or because
	// it was invalid. Reason then holds the cause.
	Applied bool   `json:"applied"`
	Reason  string `json:"reason,omitempty"`
}

// ErrNotKept means that the history holds no applied change at an offset: there was
// none, or the log's retention has removed it.
var ErrNoSuchChange = errors.New("history holds no applied change at that offset")

// History returns the changes of path that the log still holds, oldest first. If
// the start of the log was removed, complete is false and the first event is the
// value in the snapshot, if there is one.
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
		changedPath, _ := PathOf(content)
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

// settingValue returns the new value of a settings change. It returns null for an
// unset setting and for other records; a history does not need the salt and hash of
// a key.
func settingValue(content any) json.RawMessage {
	if change, ok := content.(settings.Change); ok && !change.Unsets() {
		return change.Value
	}
	return json.RawMessage("null")
}

// ValueAt returns the value that the change at an offset gave to a path. events is
// the history of the path. The value is null if the change unset the path. ValueAt
// fails with ErrNotKept if events holds no applied change at the offset.
func ValueAt(events []Event, at spool.Offset) (json.RawMessage, error) {
	for _, event := range events {
		if event.Applied && event.Offset == at {
			return event.Value, nil
		}
	}
	return nil, errors.Wrapf(ErrNoSuchChange, "offset %d", at)
}
