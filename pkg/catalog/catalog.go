// Package catalog represents one version of the operators' configuration: routes,
// services, client accounts and limits of requests. A Catalog is immutable; a change
// of the configuration produces a new one.
package catalog

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// Kind says how often a request of a route may run and how it is answered.
type Kind int

const (
	// Once is for requests that must not run more than once.
	Once Kind = iota
	// Idempotent is for requests that may run several times, at several endpoints.
	Idempotent
	// Stream is for requests that are answered by a stream of server-sent events.
	// They may run again only if the route is Resumable.
	Stream
)

// Target is a service to which a route sends requests.
type Target struct {
	Service spool.ServiceName
	// Weight determines the fraction of the requests for this target: its weight
	// divided by the sum over all targets of the route. A negative value is treated
	// as 0.
	Weight float64
}

// Route maps requests to a host and a path prefix to services.
type Route struct {
	Name string
	Host string
	// Prefix is the beginning of the paths of the requests. It begins and ends with
	// a slash.
	Prefix string
	Kind   Kind
	// Timeout is the longest time until the final answer.
	Timeout clock.Millis
	// Goal is the time within which an answer is on time.
	Goal clock.Millis
	// Priority is 0 for the most urgent requests; higher values are less urgent.
	Priority int
	// Targets are the services to which requests are sent; at least one.
	Targets []Target
	// Attempts is the largest number of endpoints on which one request may run; at
	// least 1.
	Attempts int
	// KeepsHistory is true if requests are turns whose history is kept, so that
	// later requests can continue them; see package chain.
	KeepsHistory bool
	// Retention is how long a turn is kept after its end if KeepsHistory is true.
	Retention clock.Millis
	// Public is true if requests need no key of an account.
	Public bool
	// Resumable is true if another endpoint may continue a stream that failed after
	// some of its events were delivered.
	Resumable bool
	// GapGoal is the longest pause between two events of an answer that is still on
	// time.
	GapGoal clock.Millis
	// Sticky is true if requests about one object should go to endpoints that have handled
	// it recently.
	Sticky bool
}

// Service is a group of endpoints that serve the same requests.
type Service struct {
	Name spool.ServiceName
	// MaxConnections is the number of connections that one endpoint accepts from
	// all callers.
	MaxConnections int
	// ColdFor is the time after the start of an endpoint during which it is cold:
	// it can serve only ColdPerSecond.
	ColdFor clock.Millis
	// ColdPerSecond is the number of requests per second that one cold endpoint can
	// serve; 0 for no limit.
	ColdPerSecond float64
	// Engine is true if the endpoints are model engines.
	Engine bool
	// EventTokens is the number of tokens in one event of an engine.
	EventTokens int
}

// Account is a client account: a customer whose requests carry one of its keys.
type Account struct {
	ID spool.AccountID
	// Keys are the API keys of the account.
	Keys []string
	// Priority, unless nil, replaces Route.Priority for the requests of the
	// account.
	Priority *int
	// Rate is the number of requests per second that all gateways together admit; 0
	// for no limit.
	Rate float64
	// Burst is the number of requests that are admitted at once after a pause, in
	// addition to those that Rate admits.
	Burst float64
}

// Limits contains the bounds of the HTTP requests of callers. Sizes are in bytes.
type Limits struct {
	MaxHeaderBytes int64
	MaxBodyBytes   int64
	// HeaderTimeout is the longest time from the first byte of a request to the end
	// of its headers.
	HeaderTimeout clock.Millis
	// IdleTimeout is how long a connection may be open without a request.
	IdleTimeout clock.Millis
}

// Contents is the data from which New makes a catalog.
type Contents struct {
	// Version increases with every change of the configuration; it is at least 1.
	Version  int64
	Routes   []Route
	Services []Service
	Accounts []Account
	Limits   Limits
	// KeysRequired reports whether a request needs the key of an account, unless its route
	// is public.
	KeysRequired bool
}

// Change is the decoded form of one operator record. At most one field is set; none
// is set if the record does not concern the gateway.
type Change struct {
	// Catalog is the new configuration, if the record contains one.
	Catalog *Catalog
	// EvacuationDomain is the failure domain whose evacuation the record starts or
	// ends. The record ends it if its value is empty.
	EvacuationDomain spool.FailureDomain
	// RolloutService is the service whose rollout the record orders or withdraws. Rollout
	// is the order; nil if it is withdrawn.
	RolloutService spool.ServiceName
	Rollout        *RolloutOrder
}

// RolloutOrder is an operator's order to move the traffic of a service to a version.
type RolloutOrder struct {
	To       string
	Duration clock.Millis
}

// Decoder decodes operator records.
type Decoder interface {
	// DecodeOperator decodes one record; an empty value means that the record was
	// deleted. If it returns an error, the caller ignores the record.
	DecodeOperator(key string, value []byte) (Change, error)
}

// Catalog is one version of the configuration. It does not change, so it is safe
// for concurrent use.
type Catalog struct {
	contents Contents
	// routesByHost maps a host in lower case to its routes, longest prefix first.
	// services is keyed by name, accounts by ID and accountsByKey by API key.
	routesByHost  map[string][]*Route
	services      map[spool.ServiceName]*Service
	accounts      map[spool.AccountID]*Account
	accountsByKey map[string]*Account
}

// New returns a catalog of contents, which the caller must not change afterwards.
// It returns an error if the version is below 1, or if a route has no host, no
// target, or a prefix that does not begin and end with a slash.
func New(contents Contents) (catalog *Catalog, err error) {
	catalog = &Catalog{
		contents: contents, routesByHost: map[string][]*Route{}, services: map[spool.ServiceName]*Service{},
		accounts: map[spool.AccountID]*Account{}, accountsByKey: map[string]*Account{},
	}
	if contents.Version <= 0 {
		return nil, errors.Errorf("catalog version is %d, it must be at least 1", contents.Version)
	}
	for i := range contents.Services {
		catalog.services[contents.Services[i].Name] = &contents.Services[i]
	}
	for i := range contents.Routes {
		if err := catalog.addRoute(&contents.Routes[i]); err != nil {
			return nil, err
		}
	}
	for i := range contents.Accounts {
		catalog.addAccount(&contents.Accounts[i])
	}
	for _, routes := range catalog.routesByHost {
		slices.SortStableFunc(routes, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	return catalog, nil
}

func (c *Catalog) addRoute(route *Route) error {
	if route.Host == "" || !strings.HasPrefix(route.Prefix, "/") || !strings.HasSuffix(route.Prefix, "/") {
		return errors.Errorf("route %q has host %q and prefix %q: host must be set and prefix must begin and end with a slash", route.Name, route.Host, route.Prefix)
	}
	if len(route.Targets) == 0 {
		return errors.Errorf("route %q has no target service", route.Name)
	}
	host := strings.ToLower(route.Host)
	c.routesByHost[host] = append(c.routesByHost[host], route)
	return nil
}

func (c *Catalog) addAccount(account *Account) {
	c.accounts[account.ID] = account
	for _, key := range account.Keys {
		c.accountsByKey[key] = account
	}
}

// Version returns the version number of the configuration.
func (c *Catalog) Version() int64 { return c.contents.Version }

// KeysRequired reports whether a request needs the key of an account, unless its route is
// public.
func (c *Catalog) KeysRequired() bool { return c.contents.KeysRequired }

// Limits returns the bounds of the HTTP requests of callers.
func (c *Catalog) Limits() Limits { return c.contents.Limits }

// Accounts returns all client accounts. The caller must not change them.
func (c *Catalog) Accounts() []Account { return c.contents.Accounts }

// Route returns the route of host whose Prefix is the longest one with which path
// begins, or nil if there is none. A port in host and the case of host are ignored.
func (c *Catalog) Route(host, path string) *Route {
	name, _, _ := strings.Cut(strings.ToLower(host), ":")
	for _, route := range c.routesByHost[name] {
		if strings.HasPrefix(path, route.Prefix) {
			return route
		}
	}
	return nil
}

// AccountOf returns the account that has this API key, or nil if there is none or
// the key is empty.
func (c *Catalog) AccountOf(key string) *Account {
	if key == "" {
		return nil
	}
	return c.accountsByKey[key]
}

// Service returns the service with the given name, or nil.
func (c *Catalog) Service(name spool.ServiceName) *Service { return c.services[name] }

// Target returns the service for a request. identity is hashed to choose one of the
// targets by weight, so equal identities get the same service as long as the
// targets and weights do not change.
func (r *Route) Target(identity string) spool.ServiceName {
	total := 0.0
	for _, target := range r.Targets {
		total += max(0, target.Weight)
	}
	const steps = 1 << 20
	point := total * float64(xxhash.Sum64String(identity)%steps) / steps
	for _, target := range r.Targets {
		if point < target.Weight {
			return target.Service
		}
		point -= max(0, target.Weight)
	}
	return r.Targets[len(r.Targets)-1].Service
}
