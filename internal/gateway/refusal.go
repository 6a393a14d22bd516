package gateway

import (
	"net/http"

	"github.com/baobabspool/baobabspool/internal/httpconn"
	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// Reasons for which a gateway refuses a request. They are values of logs and metrics
// and not sent to the caller.
const (
	reasonNoConfiguration spool.Code = "noConfiguration"
	reasonBadRequest      spool.Code = "badRequest"
	reasonNoRoute         spool.Code = "noRoute"
	reasonUnknownKey      spool.Code = "unknownKey"
	reasonOverLimit       spool.Code = "overLimit"
	reasonStartOverLimit  spool.Code = "startOverLimit"
	reasonNoTurn          spool.Code = "noTurn"
	reasonTurnUncertain   spool.Code = "turnUncertain"
	reasonHistoriesBusy   spool.Code = "historiesBusy"
	reasonStoreAway       spool.Code = "storeAway"
	reasonBudgetSpent     spool.Code = "budgetSpent"
	reasonBudgetUnknown   spool.Code = "budgetUnknown"
	reasonNoEndpoint      spool.Code = "noEndpoint"
	reasonEndpointsFull   spool.Code = "endpointsFull"
	reasonOverloaded      spool.Code = "overloaded"
	reasonEnginesBusy     spool.Code = "enginesBusy"
	reasonTooLate         spool.Code = "tooLate"
	reasonMayHaveRun      spool.Code = "mayHaveRun"
	reasonTimeout         spool.Code = "timeout"
	reasonInternal        spool.Code = "internal"
	reasonBuffersFull     spool.Code = "buffersFull"
	reasonStopping        spool.Code = "stopping"
	reasonPromptTooLarge  spool.Code = "promptTooLarge"
)

// Delays after which a caller may retry, in milliseconds.
const (
	// retryStartup is for a gateway that has no configuration yet because it has just
	// started.
	retryStartup = 300 * clock.Millis(1)
	// retryStore is for a store that does not answer, or not as fast as histories are
	// needed. Outages of the store last seconds.
	retryStore = clock.Second
	// retryEndpoint is for a service without an endpoint that can be used.
	retryEndpoint = 250 * clock.Millis(1)
	// retryOverload is for a program that may not begin while a service is overloaded. At
	// engines, package admission computes the delay from the overload.
	retryOverload = 500 * clock.Millis(1)
	// retryStopping is for a gateway that is shutting down. Another one takes the request.
	retryStopping = 50 * clock.Millis(1)
	// retryFull is for a service whose endpoints were full in every round of a request.
	retryFull = 150 * clock.Millis(1)
)

// refusal is an answer with an HTTP error status that the gateway itself gives.
type refusal struct {
	status int
	reason spool.Code
	// retryAfter is the delay after which the caller may retry. It is 0 if a retry
	// would not help or the delay is not known.
	retryAfter clock.Millis
}

// refusals holds the answer for each reason, without its field reason.
var refusals = map[spool.Code]refusal{
	reasonNoConfiguration: {status: http.StatusServiceUnavailable, retryAfter: retryStartup},
	reasonBadRequest:      {status: http.StatusBadRequest},
	reasonNoRoute:         {status: http.StatusNotFound},
	reasonUnknownKey:      {status: http.StatusUnauthorized},
	reasonOverLimit:       {status: http.StatusTooManyRequests},
	reasonStartOverLimit:  {status: http.StatusTooManyRequests},
	reasonNoTurn:          {status: http.StatusNotFound},
	reasonTurnUncertain:   {status: http.StatusServiceUnavailable, retryAfter: retryStore},
	reasonHistoriesBusy:   {status: http.StatusServiceUnavailable, retryAfter: retryStore},
	reasonStoreAway:       {status: http.StatusServiceUnavailable, retryAfter: retryStore},
	reasonBudgetSpent:     {status: http.StatusPaymentRequired},
	reasonBudgetUnknown:   {status: http.StatusServiceUnavailable, retryAfter: retryStore},
	reasonNoEndpoint:      {status: http.StatusServiceUnavailable, retryAfter: retryEndpoint},
	reasonEndpointsFull:   {status: http.StatusServiceUnavailable, retryAfter: retryFull},
	reasonOverloaded:      {status: http.StatusServiceUnavailable, retryAfter: retryOverload},
	reasonEnginesBusy:     {status: http.StatusServiceUnavailable, retryAfter: retryOverload},
	reasonTooLate:         {status: http.StatusServiceUnavailable, retryAfter: retryOverload},
	reasonMayHaveRun:      {status: http.StatusBadGateway},
	reasonTimeout:         {status: http.StatusGatewayTimeout},
	reasonInternal:        {status: http.StatusBadGateway},
	reasonBuffersFull:     {status: http.StatusServiceUnavailable, retryAfter: httpconn.RetryBuffers},
	reasonStopping:        {status: http.StatusServiceUnavailable, retryAfter: retryStopping},
	reasonPromptTooLarge:  {status: http.StatusRequestEntityTooLarge},
}

// refusalFor returns the refusal for a reason.
func refusalFor(reason spool.Code) refusal {
	r := refusals[reason]
	r.reason = reason
	return r
}
