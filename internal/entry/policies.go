package entry

import (
	"fmt"
	"sync"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// Names of the policies that are used if the settings name none.
const (
	defaultRouter = "affinity"
	defaultRetry  = "budgeted"
)

// policyCache creates each policy once per combination of name and options, because
// policies keep state between calls, such as the retry budget. It is safe for
// concurrent use, as are the policies that it returns.
type policyCache struct {
	seed uint64

	mu      sync.Mutex
	routers map[string]spool.Router
	retries map[string]spool.RetryPolicy
}

func newPolicyCache(seed uint64) *policyCache {
	return &policyCache{seed: seed, routers: map[string]spool.Router{}, retries: map[string]spool.RetryPolicy{}}
}

// router returns the router policy that the settings name, or an error if no such
// policy is registered.
func (p *policyCache) router(settings Settings) (spool.Router, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return getOrBuild(p.routers, spool.Routers, settings.Router, defaultRouter, p.seed, settings.Options,
		func(router spool.Router) spool.Router { return &lockedRouter{router: router} })
}

// retry returns the retry policy that the settings name, or an error if no such
// policy is registered.
func (p *policyCache) retry(settings Settings) (spool.RetryPolicy, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return getOrBuild(p.retries, spool.Retries, settings.Retry, defaultRetry, p.seed, settings.Options,
		func(retry spool.RetryPolicy) spool.RetryPolicy { return &lockedRetry{policy: retry} })
}

// getOrBuild returns the cached policy for a name and options. If there is none, it
// creates the policy with the registry and caches the result of wrap, which adds
// locking. An empty name selects defaultName. The caller must hold the lock of the
// cache.
func getOrBuild[P any](cache map[string]P, registry *spool.Registry[P], name, defaultName string, seed uint64, options spool.Options, wrap func(P) P) (policy P, err error) {
	if name == "" {
		name = defaultName
	}
	key := name + fmt.Sprint(options)
	if cached, ok := cache[key]; ok {
		return cached, nil
	}
	policy, err = registry.New(name, seed, options)
	if err != nil {
		return policy, err
	}
	cache[key] = wrap(policy)
	return cache[key], nil
}

// lockedRouter serializes the use of a router by concurrent calls.
type lockedRouter struct {
	mu     sync.Mutex
	router spool.Router
}

// Pick calls the router while holding the lock.
func (r *lockedRouter) Pick(now clock.Millis, call spool.CallView, endpoints []spool.EndpointView) (spool.EndpointID, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.router.Pick(now, call, endpoints)
}

// lockedRetry serializes the use of a retry policy by concurrent calls.
type lockedRetry struct {
	mu     sync.Mutex
	policy spool.RetryPolicy
}

// Started calls the policy while holding the lock.
func (r *lockedRetry) Started(now clock.Millis) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.policy.Started(now)
}

// Retry calls the policy while holding the lock.
func (r *lockedRetry) Retry(now clock.Millis, attempt spool.Attempt) (clock.Millis, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.policy.Retry(now, attempt)
}
