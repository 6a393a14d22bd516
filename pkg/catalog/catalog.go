// Package catalog holds one version of what operators configured: routes,
// services and client accounts. A catalog does not change; a new version is a new
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

// Kind says how often a request of a route may run.
type Kind int

const (
	// Once is for requests that run at most once.
	Once Kind = iota
	// Idempotent is for requests that may run again.
	Idempotent
	// Stream is for requests whose answer is a series of events.
	Stream
)

// Target is a service that a route sends to.
type Target struct {
	Service spool.ServiceName
	// Weight is relative to the other targets of the route.
	Weight float64
}

// Route says where requests of a host and a path go.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Timeout is the longest time until the final answer.
	Timeout clock.Millis
	// Goal is the time within which an answer is on time.
	Goal clock.Millis
	// Priority is 0 for the most urgent.
	Priority int
	// Targets is not empty.
	Targets []Target
	// Attempts is the number of endpoints on which a request may run; at least 1.
	Attempts int
	// KeepsHistory says that requests are turns that continue earlier ones.
	KeepsHistory bool
	// Retention is how long a turn is kept after its end.
	Retention clock.Millis
	// Public routes need no key.
	Public bool
	// Resumable streams may go on at another endpoint after an event.
	Resumable bool
	// GapGoal is the longest pause between events of an answer on time.
	GapGoal clock.Millis
}

// Service is a group of endpoints that do the same work.
type Service struct {
	Name spool.ServiceName
	// MaxConnections is what one endpoint accepts from all callers.
	MaxConnections int
	// ColdFor is how long an endpoint is cold after its start.
	ColdFor clock.Millis
	// ColdPerSecond is the number of requests that a cold endpoint bears in a
	// second; 0 for no limit.
	ColdPerSecond float64
	// Engine says that the endpoints are model engines.
	Engine bool
	// EventTokens is the number of tokens in an event of an engine.
	EventTokens int
}

// Account is a client account.
type Account struct {
	ID   spool.AccountID
	Keys []string
	// Priority goes before that of the route when it is set.
	Priority *int
	// Rate is in requests per second over the whole fleet; 0 for no limit.
	Rate float64
	// Burst is in requests.
	Burst float64
}

// Limits bound the requests of callers.
type Limits struct {
	MaxHeaderBytes int64
	MaxBodyBytes   int64
	HeaderTimeout  clock.Millis
	IdleTimeout    clock.Millis
}

// Contents is what a catalog is made of.
type Contents struct {
	// Version increases from one catalog to the next.
	Version  int64
	Routes   []Route
	Services []Service
	Accounts []Account
	Limits   Limits
}

// Change is what one record of an operator says. At most one field is set; none
// for a record of no interest.
type Change struct {
	// Catalog is a new version.
	Catalog *Catalog
	// Evacuated is the failure domain that the record is about.
	Evacuated spool.FailureDomain
}

// Decoder reads the records of operators.
type Decoder interface {
	// DecodeOperator fails for a record that cannot be read, which then changes
	// nothing. The value is empty when the record was dropped.
	DecodeOperator(key string, value []byte) (Change, error)
}

// Catalog is one version. It is safe for concurrent use.
type Catalog struct {
	contents Contents
	// routes of a host, longest prefix first.
	routes   map[string][]*Route
	services map[spool.ServiceName]*Service
	accounts map[spool.AccountID]*Account
	keys     map[string]*Account
}

// New indexes contents. It fails when a route cannot be followed.
func New(contents Contents) (catalog *Catalog, err error) {
	catalog = &Catalog{
		contents: contents, routes: map[string][]*Route{}, services: map[spool.ServiceName]*Service{},
		accounts: map[spool.AccountID]*Account{}, keys: map[string]*Account{},
	}
	if contents.Version <= 0 {
		return nil, errors.Errorf("version is %d, it must be at least 1", contents.Version)
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
	for _, routes := range catalog.routes {
		slices.SortStableFunc(routes, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	return catalog, nil
}

func (c *Catalog) addRoute(route *Route) error {
	if route.Host == "" || !strings.HasPrefix(route.Prefix, "/") || !strings.HasSuffix(route.Prefix, "/") {
		return errors.Errorf("route %q has host %q and prefix %q", route.Name, route.Host, route.Prefix)
	}
	if len(route.Targets) == 0 {
		return errors.Errorf("route %q names no service", route.Name)
	}
	host := strings.ToLower(route.Host)
	c.routes[host] = append(c.routes[host], route)
	return nil
}

func (c *Catalog) addAccount(account *Account) {
	c.accounts[account.ID] = account
	for _, key := range account.Keys {
		c.keys[key] = account
	}
}

// Version returns the version of the contents.
func (c *Catalog) Version() int64 { return c.contents.Version }

// Limits returns the bounds of requests.
func (c *Catalog) Limits() Limits { return c.contents.Limits }

// Accounts returns all client accounts.
func (c *Catalog) Accounts() []Account { return c.contents.Accounts }

// Route returns the route with the longest prefix of path, nil for none. A port in
// host is ignored.
func (c *Catalog) Route(host, path string) *Route {
	name, _, _ := strings.Cut(strings.ToLower(host), ":")
	for _, route := range c.routes[name] {
		if strings.HasPrefix(path, route.Prefix) {
			return route
		}
	}
	return nil
}

// AccountOf returns the account that holds key, nil for none.
func (c *Catalog) AccountOf(key string) *Account {
	if key == "" {
		return nil
	}
	return c.keys[key]
}

// Service returns the service of a name, nil for none.
func (c *Catalog) Service(name spool.ServiceName) *Service { return c.services[name] }

// Target returns the service of route for a request with the given identity. The
// same identity gets the same service while the weights stay.
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
