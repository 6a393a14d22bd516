package standin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
)

// CallerRequest is what a caller of a gateway says in the headers of a request.
// Zero values are left out.
type CallerRequest struct {
	Attempt string
	Key     string
	// DeadlineMs is how long the caller waits.
	DeadlineMs int
	// Previous is the turn that is continued.
	Previous string
	Program  string
	// TokenBudget is that of the program, MostTokens that of the turn.
	TokenBudget int
	MostTokens  int
}

// Header returns the headers of the request.
func (r CallerRequest) Header() http.Header {
	header := http.Header{}
	set := func(name, value string, stated bool) {
		if stated {
			header.Set(name, value)
		}
	}
	set("X-Attempt-Id", r.Attempt, r.Attempt != "")
	set("Authorization", "Bearer "+r.Key, r.Key != "")
	set("X-Deadline-Ms", strconv.Itoa(r.DeadlineMs), r.DeadlineMs > 0)
	set("X-Previous-Turn", r.Previous, r.Previous != "")
	set("X-Program-Id", r.Program, r.Program != "")
	set("X-Token-Budget", strconv.Itoa(r.TokenBudget), r.TokenBudget > 0)
	set("X-Token-Count", fmt.Sprintf("1,%d", r.MostTokens), r.MostTokens > 0)
	return header
}

// Forged returns headers that only a gateway may set, as a caller may send them.
func Forged() http.Header {
	return http.Header{
		"X-Tenant": {"forged"}, "X-Hold": {"h"}, "Kv-From": {"1.2.3.4:5/x"}, "X-Pin-Ms": {"9"}, "X-Kv-Backup": {"a"},
		"X-Expect-Instance": {"forged"}, "X-Urgency-Level": {"0"},
	}
}

// Attempt returns the identifier of a request that an upstream received.
func (r UpstreamRequest) Attempt() string { return r.Header.Get("X-Attempt-Id") }

// Account returns the account that a gateway named.
func (r UpstreamRequest) Account() string { return r.Header.Get("X-Tenant") }

// Expected returns the endpoint that a gateway meant.
func (r UpstreamRequest) Expected() string { return r.Header.Get("X-Expect-Instance") }

// Seal returns the seal of an answer, empty for none.
func Seal(header http.Header) string { return header.Get("X-Server-Seal") }

// PutConfiguration writes what an operator publishes.
func (t *Topics) PutConfiguration(value []byte) { t.Put("keyed.op", "config", value) }

// EndpointEntry is what an endpoint writes about itself.
type EndpointEntry struct {
	Service  string `json:"service"`
	Address  string `json:"address"`
	Zone     string `json:"zone"`
	Version  string `json:"version"`
	Slots    int    `json:"slots"`
	State    string `json:"state"`
	Sequence int    `json:"seq"`
	Born     int    `json:"born"`
}

// PutEndpoint writes the entry of an endpoint.
func (t *Topics) PutEndpoint(id string, entry EndpointEntry) error {
	value, err := json.Marshal(entry)
	if err != nil {
		return err
	}
	t.PutEndpointText(id, value)
	return nil
}

// PutEndpointText writes any bytes as the entry of an endpoint.
func (t *Topics) PutEndpointText(id string, value []byte) { t.Put("keyed.servers", id, value) }
