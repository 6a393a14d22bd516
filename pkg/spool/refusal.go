package spool

import (
	"fmt"

	"github.com/baobabspool/baobabspool/pkg/clock"
)

// NotRun tells the caller of a refused request whether the request had an effect.
type NotRun string

// The values of NotRun.
const (
	// NotRunTrue means that the request provably had no effect, so that it may be
	// repeated.
	NotRunTrue NotRun = "true"
	// NotRunFalse means that the request, or a part of it, had an effect.
	NotRunFalse NotRun = "false"
	// NotRunUnknown means that the request may have had an effect.
	NotRunUnknown NotRun = "unknown"
)

// Code identifies the reason of a refusal. Callers may depend on the values, so they
// must not change. Each code has its own counter in the metrics.
type Code string

// The refusal codes.
const (
	CodeBadRequest       Code = "badRequest"
	CodeTooLarge         Code = "tooLarge"
	CodeUnauthorized     Code = "unauthorized"
	CodeKeyWithdrawn     Code = "keyWithdrawn"
	CodeNotFound         Code = "notFound"
	CodeConflict         Code = "conflict"
	CodeRateLimited      Code = "rateLimited"
	CodeBudgetExhausted  Code = "budgetExhausted"
	CodeOverloaded       Code = "overloaded"
	CodeNoEndpoint       Code = "noEndpoint"
	CodeDraining         Code = "draining"
	CodeFenced           Code = "fenced"
	CodeNotOwner         Code = "notOwner"
	CodeNoOwner          Code = "noOwner"
	CodeLogUnavailable   Code = "logUnavailable"
	CodeIsolated         Code = "isolated"
	CodeDeadlineExceeded Code = "deadlineExceeded"
	CodeCancelled        Code = "cancelled"
	CodeProgramEnded     Code = "programEnded"
	CodeOutcomeUnknown   Code = "unknownFate"
	CodeOutcomePending   Code = "fatePending"
	CodeNeedHistory      Code = "needHistory"
	CodeEndpointFailed   Code = "endpointFailed"
	CodeShuttingDown     Code = "shuttingDown"
	CodeInternal         Code = "internal"
)

// httpStatus maps each code to the status of the HTTP answer.
var httpStatus = map[Code]int{
	CodeBadRequest: 400, CodeTooLarge: 413, CodeUnauthorized: 401, CodeKeyWithdrawn: 401,
	CodeNotFound: 404, CodeConflict: 409, CodeRateLimited: 429, CodeBudgetExhausted: 402,
	CodeOverloaded: 503, CodeNoEndpoint: 503, CodeDraining: 503, CodeFenced: 503,
	CodeNotOwner: 503, CodeNoOwner: 503, CodeLogUnavailable: 503, CodeIsolated: 503,
	CodeDeadlineExceeded: 504, CodeCancelled: 499, CodeProgramEnded: 410,
	CodeOutcomeUnknown: 502, CodeOutcomePending: 503, CodeNeedHistory: 409, CodeEndpointFailed: 502,
	CodeShuttingDown: 503, CodeInternal: 500,
}

// Refusal is the error of a request that got no answer or an incomplete one. Its fields
// are exported, because it is also sent to other processes as JSON.
type Refusal struct {
	// Code is the reason of the refusal, one of the Code constants.
	Code Code `json:"code"`
	// Message explains the refusal in one sentence. It never contains an API key.
	Message string `json:"message"`
	// NotRun is NotRunTrue only when the request provably had no effect.
	NotRun NotRun `json:"notRun"`
	// RetryAfter is the time after which a retry may succeed; 0 when a retry is
	// pointless.
	RetryAfter clock.Millis `json:"retryAfterMs"`
	// Owner is, with CodeNotOwner, the node to which the request should be sent instead;
	// empty when the owner is unknown. With CodeNoOwner it is an owner that is alive but
	// that this process cannot reach; empty when there is none. With other codes it is
	// empty.
	Owner NodeID `json:"owner,omitempty"`
}

// Refuse returns a refusal of a request that provably did not run: NotRun is NotRunTrue
// and RetryAfter is 0. format and args define the message, as for fmt.Sprintf.
func Refuse(code Code, format string, args ...any) *Refusal {
	return &Refusal{Code: code, Message: fmt.Sprintf(format, args...), NotRun: NotRunTrue}
}

// WithNotRun returns a copy of r whose NotRun is n.
func (r *Refusal) WithNotRun(n NotRun) *Refusal {
	updated := *r
	updated.NotRun = n
	return &updated
}

// WithRetryAfter returns a copy of r whose RetryAfter is wait.
func (r *Refusal) WithRetryAfter(wait clock.Millis) *Refusal {
	updated := *r
	updated.RetryAfter = wait
	return &updated
}

// Error returns the code and the message.
func (r *Refusal) Error() string { return string(r.Code) + ": " + r.Message }

// Status returns the HTTP status code for the refusal; 500 when the code is unknown.
func (r *Refusal) Status() int {
	if status, ok := httpStatus[r.Code]; ok {
		return status
	}
	return httpStatus[CodeInternal]
}
