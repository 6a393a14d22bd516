// Package control keeps the settings, keys, accounts, services and engine orders of
// the system. They are stored as records on the control stream of the log. A State is
// the result of applying these records. A Reader follows the stream, from the log or
// from peers, and relays it to other nodes. A Publisher appends changes.
package control

import (
	"encoding/json"
	"path"
	"strings"

	"github.com/pkg/errors"

	"github.com/baobabspool/baobabspool/pkg/keyring"
	"github.com/baobabspool/baobabspool/pkg/settings"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// Kinds of records on the control stream.
const (
	RecordSetting  spool.RecordKind = "setting"
	RecordKey      spool.RecordKind = "key"
	RecordAccount  spool.RecordKind = "account"
	RecordService  spool.RecordKind = "service"
	RecordOrder    spool.RecordKind = "order"
	RecordSnapshot spool.RecordKind = "snapshot"
)

// Account is a client account, as stored on the control stream.
type Account struct {
	// ID identifies the account.
	ID spool.AccountID `json:"id"`
	// Description is a text for operators of at most 200 bytes.
	Description string `json:"description,omitempty"`
	// Closed is set if the keys of the account are refused. A closed account stays in
	// the state; there is no record that removes an account.
	Closed bool `json:"closed,omitempty"`
	// Base is the highest offset that the author had read.
	Base spool.Offset `json:"base"`
}

// ServiceKind is the kind of a service, which determines how it is called.
type ServiceKind string

// Kinds of services.
const (
	ServiceModel ServiceKind = "model"
	ServicePlain ServiceKind = "service"
)

// Service is a group of interchangeable endpoints.
type Service struct {
	// Name is the name of the service in the VM list.
	Name spool.ServiceName `json:"name"`
	// Kind is ServiceModel or ServicePlain.
	Kind ServiceKind `json:"kind"`
	// Models lists the models that the service can run, at most 100. It must be empty
	// if Kind is ServicePlain.
	Models []spool.ModelName `json:"models,omitempty"`
	// Open is set for a service that accepts requests without a key.
	Open bool `json:"open,omitempty"`
	// IdempotentPaths lists the paths whose requests may be repeated, as patterns
	// of path.Match that start with a slash. There are at most 100 patterns of at most
	// 200 bytes.
	IdempotentPaths []string `json:"idempotentPaths,omitempty"`
	// Removed is set in the record that removes the service. It is false in the
	// services that a State returns.
	Removed bool `json:"removed,omitempty"`
	// Base is the highest offset that the author had read.
	Base spool.Offset `json:"base"`
}

// Idempotent reports whether a request to requestPath may be repeated, because one of
// IdempotentPaths matches. The part of requestPath from the first "?" is ignored.
func (s Service) Idempotent(requestPath string) bool {
	requestPath, _, _ = strings.Cut(requestPath, "?")
	for _, pattern := range s.IdempotentPaths {
		if matched, err := path.Match(pattern, requestPath); err == nil && matched {
			return true
		}
	}
	return false
}

// Order is an operator's order to one engine, for example to load a model. Its fencing
// number is the offset of the batch that contains it.
type Order struct {
	// Endpoint is the endpoint whose agent runs the engine.
	Endpoint spool.EndpointID `json:"endpoint"`
	// Order is what the engine shall do. Its Fence is ignored, because the state sets
	// the offset of the batch.
	Order spool.EngineOrder `json:"order"`
	// Clear removes all orders for the endpoint, for example when the VM of the
	// endpoint no longer exists. If it is set, Order is ignored.
	Clear bool `json:"clear,omitempty"`
	// Base is the highest offset that the author had read. The record is rejected if
	// the orders for the endpoint were changed at a higher offset. Of two authors with
	// the same base only the first succeeds.
	Base spool.Offset `json:"base"`
}

// Limits of a record: maxDescriptionBytes for Account.Description, maxListEntries for
// each list of a Service, maxPatternBytes for one idempotent path. They bound the
// memory that one record uses on every node.
const (
	maxDescriptionBytes = 200
	maxListEntries      = 100
	maxPatternBytes     = 200
)

func (a Account) check() error {
	if len(a.Description) > maxDescriptionBytes {
		return errors.Errorf("account %q: description is longer than %d bytes", a.ID, maxDescriptionBytes)
	}
	return errors.Wrapf(settings.CheckIdentifier(string(a.ID)), "account %.60q", string(a.ID))
}

func (s Service) check() (err error) {
	defer func() { err = errors.Wrapf(err, "service %.60q", string(s.Name)) }()
	if err := settings.CheckIdentifier(string(s.Name)); err != nil {
		return err
	}
	if s.Kind != ServiceModel && s.Kind != ServicePlain {
		return errors.Errorf("kind %.60q must be model or service", string(s.Kind))
	}
	if len(s.Models) > maxListEntries || len(s.IdempotentPaths) > maxListEntries {
		return errors.Errorf("has more than %d models or paths", maxListEntries)
	}
	if s.Kind == ServicePlain && len(s.Models) > 0 {
		return errors.New("a plain service must not list models")
	}
	for _, model := range s.Models {
		if err := settings.CheckIdentifier(string(model)); err != nil {
			return errors.Wrap(err, "model")
		}
	}
	for _, pattern := range s.IdempotentPaths {
		if _, err := path.Match(pattern, "/"); err != nil || !strings.HasPrefix(pattern, "/") || len(pattern) > maxPatternBytes {
			return errors.Errorf("path %.60q must start with / and be a valid pattern of at most %d bytes", pattern, maxPatternBytes)
		}
	}
	return nil
}

func (o Order) check() (err error) {
	defer func() { err = errors.Wrapf(err, "order for endpoint %.60q", string(o.Endpoint)) }()
	if err := settings.CheckIdentifier(string(o.Endpoint)); err != nil {
		return err
	}
	if o.Clear {
		return nil
	}
	for _, name := range []string{string(o.Order.Model), o.Order.Adapter, o.Order.Version, o.Order.Role} {
		if name == "" {
			continue
		}
		if err := settings.CheckIdentifier(name); err != nil {
			return err
		}
	}
	switch o.Order.Kind {
	case spool.OrderLoad, spool.OrderUnload:
		if o.Order.Model == "" && o.Order.Adapter == "" {
			return errors.Errorf("%s needs a model or an adapter", o.Order.Kind)
		}
	case spool.OrderRole:
		if o.Order.Role == "" {
			return errors.New("role is missing")
		}
	default:
		return errors.Errorf("kind %.60q must be load, unload or role", string(o.Order.Kind))
	}
	return nil
}

// NewRecord encodes content, which must be a settings.Change, keyring.StoredKey,
// Account, Service, Order or SnapshotPart.
func NewRecord(content any) (record spool.Record, err error) {
	switch content.(type) {
	case settings.Change:
		record.Kind = RecordSetting
	case keyring.StoredKey:
		record.Kind = RecordKey
	case Account:
		record.Kind = RecordAccount
	case Service:
		record.Kind = RecordService
	case Order:
		record.Kind = RecordOrder
	case SnapshotPart:
		record.Kind = RecordSnapshot
	default:
		return spool.Record{}, errors.Errorf("%T is not a control record", content)
	}
	record.Data, err = json.Marshal(content)
	return record, errors.Wrap(err, "encode control record")
}

// DecodeRecord decodes a record and checks its identifiers, limits and values, but not
// its base. The content has one of the types that NewRecord accepts. The result depends
// only on the record, so that all readers accept or reject the record alike.
func DecodeRecord(record spool.Record) (content any, err error) {
	defer func() { err = errors.Wrapf(err, "record of kind %.60q", string(record.Kind)) }()
	switch record.Kind {
	case RecordSetting:
		return decode(record.Data, func(change settings.Change) error {
			_, err := change.Check()
			return err
		})
	case RecordKey:
		return decode(record.Data, keyring.StoredKey.Check)
	case RecordAccount:
		return decode(record.Data, Account.check)
	case RecordService:
		return decode(record.Data, Service.check)
	case RecordOrder:
		return decode(record.Data, Order.check)
	case RecordSnapshot:
		return decode(record.Data, SnapshotPart.check)
	default:
		return nil, errors.New("unknown record kind")
	}
}

// decode decodes data as JSON into a T and returns the T if check accepts it.
func decode[T any](data json.RawMessage, check func(T) error) (any, error) {
	var content T
	if err := json.Unmarshal(data, &content); err != nil {
		return nil, errors.New("could not decode data")
	}
	if err := check(content); err != nil {
		return nil, err
	}
	return content, nil
}
