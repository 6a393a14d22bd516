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

// Account is a client account.
type Account struct {
	// ID identifies the account.
	ID spool.AccountID `json:"id"`
	// Description is a text for operators of at most 200 bytes.
	Description string `json:"description,omitempty"`
	// Closed is set for an account whose keys are refused. The account and its
	// history are kept.
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
	// Models lists the models that the service can run. It is empty for a plain
	// service.
	Models []spool.ModelName `json:"models,omitempty"`
	// Open is set for a service that accepts requests without a key.
	Open bool `json:"open,omitempty"`
	// IdempotentPaths lists the paths whose requests may be repeated, as patterns
	// of path.Match.
	IdempotentPaths []string `json:"idempotentPaths,omitempty"`
	// Removed is set in the record that removes the service.
	Removed bool `json:"removed,omitempty"`
	// Base is the highest offset that the author had read.
	Base spool.Offset `json:"base"`
}

// Idempotent reports whether a request to requestPath may be repeated. A query string
// is ignored.
func (s Service) Idempotent(requestPath string) bool {
	requestPath, _, _ = strings.Cut(requestPath, "?")
	for _, pattern := range s.IdempotentPaths {
		if matched, err := path.Match(pattern, requestPath); err == nil && matched {
			return true
		}
	}
	return false
}

// Order is an operator's order to one engine. The offset of its batch is its fencing
// number.
type Order struct {
	// Endpoint is the endpoint whose agent runs the engine.
	Endpoint spool.EndpointID `json:"endpoint"`
	// Order is the order itself. Its Fence is ignored.
	Order spool.EngineOrder `json:"order"`
	// Clear removes all orders for the endpoint, for example after its VM is gone.
	// Order is not used then.
	Clear bool `json:"clear,omitempty"`
	// Base is the highest offset that the author had read. If two authors use the
	// same base, only the first succeeds.
	Base spool.Offset `json:"base"`
}

// Limits of a record. They bound the memory that one record uses on every node.
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

// NewRecord encodes content, which must be a settings.Change, keyring.Stored,
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

// DecodeRecord decodes and checks a record. The content has one of the types that
// NewRecord accepts. The result depends only on the record, so that all readers
// accept or reject it alike.
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
