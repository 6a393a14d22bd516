// Package catalog holds one version of the operators' configuration: routes,
// services and client accounts. A catalog is immutable; a new version is a new
// catalog.
package catalog

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// Kind is the execution guarantee for the requests of a route.
type Kind int

const (
	// Once is for requests that run at most once.
	Once Kind = iota
	// Idempotent is for requests that may be repeated.
	Idempotent
	// Stream is for requests that are answered by a stream of events.
	Stream
)

// Target is a service to which a route sends requests.
type Target struct {
	Service spool.ServiceName
	// Weight is relative to the other targets of the route.
	Weight float64
}

// Route maps requests for a host and a path prefix to services.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Timeout is the longest time until the final answer.
	Timeout clock.Millis
	// Goal is the time within which an answer counts as on time.
	Goal clock.Millis
	// Priority is 0 for the most urgent requests; higher values are less urgent.
	Priority int
	// Targets must not be empty.
	Targets []Target
	// Attempts is the number of endpoints on which a request may run; at least 1.
	Attempts int
	// KeepsHistory is true if requests are turns that continue earlier ones.
	KeepsHistory bool
	// Retention is how long a turn is kept after its end.
	Retention clock.Millis
	// Public routes need no key.
	Public bool
	// Resumable streams may continue at another endpoint after an event.
	Resumable bool
	// GapGoal is the longest pause between events of an answer that counts as on
	// time.
	GapGoal clock.Millis
}

// Service is a group of endpoints that serve the same requests.
type Service struct {
	Name spool.ServiceName
	// MaxConnections is the number of connections that one endpoint accepts from
	// all callers.
	MaxConnections int
	// ColdFor is how long an endpoint is cold after its start.
	ColdFor clock.Millis
	// ColdPerSecond is the number of requests per second that a cold endpoint can
	// serve; 0 for no limit.
	ColdPerSecond float64
	// Engine is true if the endpoints are model engines.
	Engine bool
	// EventTokens is the number of tokens in one event of an engine.
	EventTokens int
}

// Account is a client account.
type Account struct {
	ID   spool.AccountID
	Keys []string
	// Priority overrides the priority of the route unless it is nil.
	Priority *int
	// Rate is in requests per second over the whole fleet; 0 for no limit.
	Rate float64
	// Burst is in requests.
	Burst float64
}

// Limits bounds the requests of callers.
type Limits struct {
	MaxHeaderBytes int64
	MaxBodyBytes   int64
	HeaderTimeout  clock.Millis
	IdleTimeout    clock.Millis
}

// Contents holds the contents of a catalog.
type Contents struct {
	// Version increases from one catalog to the next; it is at least 1.
	Version  int64
	Routes   []Route
	Services []Service
	Accounts []Account
	Limits   Limits
}

// Change is the meaning of one operator record. At most one field is set; none is
// set for an irrelevant record.
type Change struct {
	// Catalog is the new version.
	Catalog *Catalog
	// Evacuated is the failure domain to which the record applies.
	Evacuated spool.FailureDomain
}

// Decoder decodes operator records.
type Decoder interface {
	// DecodeOperator returns an error for a record that cannot be decoded; the
	// caller then ignores the record. The value is empty if the record was deleted.
	DecodeOperator(key string, value []byte) (Change, error)
}

// Catalog is one version of the configuration. It is safe for concurrent use.
type Catalog struct {
	contents Contents
	// routesByHost holds the routes of each host, longest prefix first.
	routesByHost  map[string][]*Route
	services      map[spool.ServiceName]*Service
	accounts      map[spool.AccountID]*Account
	accountsByKey map[string]*Account
}

// New returns a catalog of contents. It returns an error if the version is not
// positive or a route is invalid.
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

// Version returns the version of the contents.
func (c *Catalog) Version() int64 { return c.contents.Version }

// Limits returns the bounds of requests.
func (c *Catalog) Limits() Limits { return c.contents.Limits }

// Accounts returns all client accounts.
func (c *Catalog) Accounts() []Account { return c.contents.Accounts }

// Route returns the route with the longest matching prefix of path, or nil. A port
// in host is ignored.
func (c *Catalog) Route(host, path string) *Route {
	name, _, _ := strings.Cut(strings.ToLower(host), ":")
	for _, route := range c.routesByHost[name] {
		if strings.HasPrefix(path, route.Prefix) {
			return route
		}
	}
	return nil
}

// AccountOf returns the account to which key belongs, or nil.
func (c *Catalog) AccountOf(key string) *Account {
	if key == "" {
		return nil
	}
	return c.accountsByKey[key]
}

// Service returns the service with the given name, or nil.
func (c *Catalog) Service(name spool.ServiceName) *Service { return c.services[name] }

// Target returns the service for a request with the given identity. Equal
// identities get the same service as long as the weights do not change.
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
