package standin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
)

// CallerRequest holds the values that a caller sends to a gateway in request
// headers. Zero values are left out.
type CallerRequest struct {
	// Attempt identifies this attempt of the request.
	Attempt string
	// Key is the API key, without "Bearer".
	Key string
	// DeadlineMs is the time that the caller waits for the response, in milliseconds.
	DeadlineMs int
	// PreviousTurn is the identifier of the turn that this request continues.
	PreviousTurn string
	Program      string
	// TokenBudget is the bound of the tokens of the whole program, MaxTokens that of the
	// tokens of this turn.
	TokenBudget int
	MaxTokens   int
	// FinishMs is the time within which the program should be finished, in milliseconds; empty
	// if the caller does not state it.
	FinishMs string
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
	set("X-Previous-Turn", r.PreviousTurn, r.PreviousTurn != "")
	set("X-Program-Id", r.Program, r.Program != "")
	set("X-Token-Budget", strconv.Itoa(r.TokenBudget), r.TokenBudget > 0)
	set("X-Finish-Ms", r.FinishMs, r.FinishMs != "")
	set("X-Token-Count", fmt.Sprintf("1,%d", r.MaxTokens), r.MaxTokens > 0)
	return header
}

// ObjectCookies returns the Cookie header of a request about an object.
func ObjectCookies(object string) string { return "a=b; X-Affinity-Key=" + object }

// ForgedHeaders returns headers that only a gateway may set. Tests send them in requests
// of a caller and check that the gateway drops them.
func ForgedHeaders() http.Header {
	return http.Header{
		"X-Tenant": {"forged"}, "X-Hold": {"h"}, "Kv-From": {"1.2.3.4:5/x"}, "X-Pin-Ms": {"9"}, "X-Kv-Backup": {"a"},
		"X-Expect-Instance": {"forged"}, "X-Urgency-Level": {"0"},
	}
}

// Attempt returns the identifier of a request that an upstream received.
func (r UpstreamRequest) Attempt() string { return r.Header.Get("X-Attempt-Id") }

// Urgency returns the urgency level of the request; empty if it has none.
func (r UpstreamRequest) Urgency() string { return r.Header.Get("X-Urgency-Level") }

// Account returns the account that the gateway put into the request.
func (r UpstreamRequest) Account() string { return r.Header.Get("X-Tenant") }

// ExpectedEndpoint returns the identifier of the endpoint for which the gateway
// intended the request.
func (r UpstreamRequest) ExpectedEndpoint() string { return r.Header.Get("X-Expect-Instance") }

// Seal returns the seal header of a response, or "".
func Seal(header http.Header) string { return header.Get("X-Server-Seal") }

// PutConfiguration writes the configuration record of the gateways, which an operator
// writes on the real platform.
func (t *Topics) PutConfiguration(value []byte) { t.Put("keyed.op", "config", value) }

// EndpointEntry is the record with which an endpoint behind gateways registers itself in
// the topic store.
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

// PutEndpoint writes the registration record of an endpoint.
func (t *Topics) PutEndpoint(id string, entry EndpointEntry) error {
	value, err := json.Marshal(entry)
	if err != nil {
		return err
	}
	t.PutEndpointText(id, value)
	return nil
}

// PutEndpointText writes arbitrary bytes as the registration record of an endpoint. An
// empty value deletes the record.
func (t *Topics) PutEndpointText(id string, value []byte) { t.Put("keyed.servers", id, value) }

// PutGatewayText writes arbitrary bytes as the record of a gateway, under its node name.
func (t *Topics) PutGatewayText(node string, value []byte) {
	t.Put("keyed.status", "gateway/"+node, value)
}
