// Package control folds the control stream into the settings, keys, accounts,
// services and engine orders that are in force, and distributes it: a Reader
// follows the log or a peer, relays to others, and a Publisher appends changes.
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

// Account is a client account.
type Account struct {
	// ID names the account.
	ID spool.AccountID `json:"id"`
	// Description is for operators.
	Description string `json:"description,omitempty"`
	// Closed accounts keep their history, but their keys are refused.
	Closed bool `json:"closed,omitempty"`
	// Base is the offset that the author had read.
	Base spool.Offset `json:"base"`
}

// ServiceKind tells how a service is called.
type ServiceKind string

// The kinds of services.
const (
	ServiceModel ServiceKind = "model"
	ServicePlain ServiceKind = "service"
)

// Service is a group of interchangeable endpoints.
type Service struct {
	// Name is the group's name in the VM list.
	Name spool.ServiceName `json:"name"`
	// Kind is model or service.
	Kind ServiceKind `json:"kind"`
	// Models lists what a model service can run.
	Models []spool.ModelName `json:"models,omitempty"`
	// Open services accept requests without a key.
	Open bool `json:"open,omitempty"`
	// IdempotentPaths lists paths, or patterns in the form of path.Match, whose
	// requests may be repeated.
	IdempotentPaths []string `json:"idempotentPaths,omitempty"`
	// Removed services are no longer routed to.
	Removed bool `json:"removed,omitempty"`
	// Base is the offset that the author had read.
	Base spool.Offset `json:"base"`
}

// Idempotent reports whether a request to requestPath may be repeated.
func (s Service) Idempotent(requestPath string) bool {
	requestPath, _, _ = strings.Cut(requestPath, "?")
	for _, pattern := range s.IdempotentPaths {
		if matched, err := path.Match(pattern, requestPath); err == nil && matched {
			return true
		}
	}
	return false
}

// Order is an operator's order to one engine. Its fencing number is the offset
// of its record.
type Order struct {
	// Endpoint is the agent beside the engine.
	Endpoint spool.EndpointID `json:"endpoint"`
	// Order says what to do; its Fence is ignored.
	Order spool.EngineOrder `json:"order"`
	// Clear forgets every order for the endpoint, for example when its VM is
	// gone; Order is not used.
	Clear bool `json:"clear,omitempty"`
	// Base is the offset that the author had read. Of two authors with the same
	// base only the first succeeds.
	Base spool.Offset `json:"base"`
}

// maxDescription, maxList and maxPattern bound what one record adds to the
// memory of every node.
const (
	maxDescriptionBytes = 200
	maxListEntries        = 100
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
		return errors.New("a plain service runs no models")
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
			return errors.New("role is empty")
		}
	default:
		return errors.Errorf("kind %.60q must be load, unload or role", string(o.Order.Kind))
	}
	return nil
}

// NewRecord encodes one of settings.Change, keyring.Stored, Account, Service,
// Order or SnapshotPart.
func NewRecord(content any) (record spool.Record, err error) {
	switch content.(type) {
	case settings.Change:
		record.Kind = RecordSetting
	case keyring.Stored:
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

// DecodeRecord decodes and checks one record. The result depends on the record
// only, so that all readers agree. The content has one of the types that
// NewRecord accepts.
func DecodeRecord(record spool.Record) (content any, err error) {
	defer func() { err = errors.Wrapf(err, "record of kind %.60q", string(record.Kind)) }()
	switch record.Kind {
	case RecordSetting:
		return decode(record.Data, func(change settings.Change) error {
			_, err := change.Check()
			return err
		})
	case RecordKey:
		return decode(record.Data, keyring.Stored.Check)
	case RecordAccount:
		return decode(record.Data, Account.check)
	case RecordService:
		return decode(record.Data, Service.check)
	case RecordOrder:
		return decode(record.Data, Order.check)
	case RecordSnapshot:
		return decode(record.Data, SnapshotPart.check)
	default:
		return nil, errors.New("kind is not known")
	}
}

func decode[T any](data json.RawMessage, check func(T) error) (any, error) {
	var content T
	if err := json.Unmarshal(data, &content); err != nil {
		return nil, errors.New("data does not decode")
	}
	if err := check(content); err != nil {
		return nil, err
	}
	return content, nil
}
