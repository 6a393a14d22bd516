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
	// Path is the path of the changed setting, key, account, service or order, in the
	// form that PathOf returns.
	Path string `json:"path"`
	// Offset is the offset of the batch that holds the change.
	Offset spool.Offset `json:"offset"`
	// At is the time of the batch on its writer's clock, and Writer the node that
	// appended the batch. Both are zero for a value that comes from a snapshot.
	At     clock.Millis `json:"atMs,omitempty"`
	Writer spool.NodeID `json:"writer,omitempty"`
	// Value is the new value of a setting. It is null if the change unset the setting
	// or if the path is not that of a setting.
	Value json.RawMessage `json:"value"`
	// Applied is false if the change was rejected because of a conflict or because
	// it was invalid. Reason is the cause of the rejection and otherwise empty.
	Applied bool   `json:"applied"`
	Reason  string `json:"reason,omitempty"`
}

// ErrNoSuchChange means that the history has no applied change at an offset: the batch
// did not change the path, its change was rejected, or the log's retention has removed
// the batch.
var ErrNoSuchChange = errors.New("history holds no applied change at that offset")

// History returns the changes of path that are on the log, oldest first, including
// rejected ones. If the log's retention has removed the first batches, complete is
// false and the first event is the value of the path in the latest usable snapshot.
// There is no such event if the path is not that of a setting or was not set then.
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

// snapshotEvents returns the value of the setting at path as one event, or nil if the
// path is not that of a setting or has no value.
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

// batchEvents returns one event for each record of the batch that changes path.
// Records that cannot be decoded are left out, because they have no path.
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
// unset setting and for all other records, so that the history does not show the salt
// and hash of a key.
func settingValue(content any) json.RawMessage {
	if change, ok := content.(settings.Change); ok && !change.Unsets() {
		return change.Value
	}
	return json.RawMessage("null")
}

// ValueAt returns the value that the change at an offset gave to a path. events is
// the history of the path. The value is null if the change unset the path. ValueAt
// fails with ErrNoSuchChange if events holds no applied change at the offset.
func ValueAt(events []Event, at spool.Offset) (json.RawMessage, error) {
	for _, event := range events {
		if event.Applied && event.Offset == at {
			return event.Value, nil
		}
	}
	return nil, errors.Wrapf(ErrNoSuchChange, "offset %d", at)
}
