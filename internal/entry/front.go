package entry

import (
	"context"
	"crypto/sha256"
	"encoding/json"
	"io"
	"log"
	"runtime/debug"
	"strconv"
	"strings"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

const (
	headerProgramID      = "X-Program-Id"
	headerIdempotencyKey = "Idempotency-Key"
	bearerPrefix         = "Bearer "
	millisPerSecond      = 1000
)

// newHTTPServer returns the server of the callers' HTTP API.
func (e *Entry) newHTTPServer() *fasthttp.Server {
	return &fasthttp.Server{
		Handler: e.handle,
		ErrorHandler: func(ctx *fasthttp.RequestCtx, err error) {
			e.writeRefusal(ctx, refusalOfReadError(err))
			enableLinger(ctx)
		},
		// The server's own log messages quote request headers, which contain API
		// keys.
		Logger:             log.New(io.Discard, "", 0),
		Concurrency:        e.config.MaxConnections,
		MaxConnsPerIP:      e.config.MaxConnectionsPerIP,
		ReadBufferSize:     e.config.MaxHeaderBytes,
		MaxRequestBodySize: e.config.MaxBodyBytes,
		IdleTimeout:        e.config.IdleTimeout.Duration(),
		ReadTimeout:        e.config.ReadTimeout.Duration(),
		// For a streamed answer, eventBody.Read renews this deadline at each read.
		WriteTimeout:          e.config.IdleTimeout.Duration(),
		NoDefaultServerHeader: true,
		NoDefaultContentType:  true,
		CloseOnShutdown:       true,
	}
}

// refusalOfReadError returns the refusal of a request that could not be read.
// It does not quote the request, which may contain an API key.
func refusalOfReadError(err error) *spool.Refusal {
	tooSmall := &fasthttp.ErrSmallBuffer{}
	switch {
	case errors.As(err, &tooSmall):
		return spool.Refuse(spool.CodeTooLarge, "header of the request is too large")
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		return spool.Refuse(spool.CodeTooLarge, "body of the request is too large")
	default:
		return spool.Refuse(spool.CodeBadRequest, "request is malformed")
	}
}

// handle serves one HTTP request. It turns a panic into a refusal with
// CodeInternal.
func (e *Entry) handle(ctx *fasthttp.RequestCtx) {
	defer func() {
		if cause := recover(); cause != nil {
			e.telemetry.CountViolation("noPanic", zap.Any("cause", cause), zap.ByteString("stack", debug.Stack()))
			e.writeRefusal(ctx, spool.Refuse(spool.CodeInternal, "request failed").WithNotRun(spool.NotRunUnknown))
		}
	}()
	key := stripKey(ctx)
	if e.handleUnauthenticated(ctx) {
		return
	}
	if !e.beginOperation() {
		e.writeRefusal(ctx, spool.Refuse(spool.CodeShuttingDown, "entry is shutting down").WithRetryAfter(clock.Second))
		return
	}
	ended := false
	endOperation := func() {
		if !ended {
			ended = true
			e.endOperation()
		}
	}
	account, keyID, err := e.control.Authenticate(key)
	if err != nil {
		endOperation()
		e.writeRefusal(ctx, asRefusal(err))
		return
	}
	request := &callerRequest{ctx: ctx, account: account, keyID: keyID, endOperation: endOperation}
	streaming, err := e.route(request)
	if err != nil {
		e.writeRefusal(ctx, asRefusal(err))
	}
	if !streaming {
		endOperation()
	}
}

// stripKey removes the Authorization header from the request, so that no later
// code can log the API key, and returns the key. It returns an empty string if
// the header is missing or is not a bearer token.
func stripKey(ctx *fasthttp.RequestCtx) string {
	value := string(ctx.Request.Header.Peek(fasthttp.HeaderAuthorization))
	ctx.Request.Header.Del(fasthttp.HeaderAuthorization)
	if len(value) > len(bearerPrefix) && strings.EqualFold(value[:len(bearerPrefix)], bearerPrefix) {
		return strings.TrimSpace(value[len(bearerPrefix):])
	}
	return ""
}

// handleUnauthenticated serves the request if its route needs no API key. It
// returns false, without a response, for any other route.
func (e *Entry) handleUnauthenticated(ctx *fasthttp.RequestCtx) bool {
	if !ctx.IsGet() {
		return false
	}
	switch string(ctx.Path()) {
	case "/healthz":
		ctx.SetBodyString("ok\n")
	case "/readyz":
		if !e.ready.Load() {
			ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
			ctx.SetBodyString("shutting down\n")
			return true
		}
		ctx.SetBodyString("ready\n")
	case "/metrics":
		e.telemetry.Handler()(ctx)
	case "/v1/models":
		e.writeJSON(ctx, fasthttp.StatusOK, e.listModels())
	default:
		return false
	}
	return true
}

// modelList is the response of GET /v1/models.
type modelList struct {
	Object string  `json:"object"`
	Data   []model `json:"data"`
}

// model is one model of a modelList.
type model struct {
	ID     spool.ModelName `json:"id"`
	Object string          `json:"object"`
	Owner  string          `json:"owned_by"`
}

// listModels returns the models of all services.
func (e *Entry) listModels() modelList {
	list := modelList{Object: "list", Data: []model{}}
	for _, service := range e.control.Services() {
		for _, name := range service.Models {
			list.Data = append(list.Data, model{ID: name, Object: "model", Owner: string(service.Name)})
		}
	}
	return list
}

// callerRequest is an authenticated HTTP request.
type callerRequest struct {
	ctx     *fasthttp.RequestCtx
	account spool.AccountID
	keyID   string
	// endOperation removes this request from the active operations, for which
	// Shutdown waits. Only the first call has an effect.
	endOperation func()
}

// route serves an authenticated request. If streaming is true, the operation ran
// or still runs in the background and calls request.endOperation when it ends;
// otherwise the caller of route must call it.
func (e *Entry) route(request *callerRequest) (streaming bool, err error) {
	method := string(request.ctx.Method())
	parts := strings.Split(strings.TrimPrefix(string(request.ctx.Path()), "/"), "/")
	if method == fasthttp.MethodPost && len(parts) == 3 && parts[1] == "chat" && parts[2] == "completions" && parts[0] == "v1" {
		return e.handleChat(request)
	}
	if len(parts) < 2 || parts[0] != "v1" || parts[1] != "programs" {
		return false, spool.Refuse(spool.CodeNotFound, "route does not exist")
	}
	if len(parts) == 2 && method == fasthttp.MethodPost {
		return false, e.handleStart(request)
	}
	if len(parts) == 2 {
		return false, spool.Refuse(spool.CodeNotFound, "route does not exist")
	}
	id := spool.ProgramID(parts[2])
	if err := checkProgramID(id); err != nil {
		return false, err
	}
	switch strings.Join(append([]string{method}, parts[3:]...), " ") {
	case "GET":
		return false, e.runOperation(request, OperationShow, id, nil, fasthttp.StatusOK)
	case "DELETE":
		return false, e.runOperation(request, OperationEnd, id, nil, fasthttp.StatusOK)
	case "POST cancel":
		return false, e.runOperation(request, OperationCancel, id, nil, fasthttp.StatusOK)
	case "POST calls":
		return e.handleCall(request, id)
	case "POST agents":
		body := SpawnRequest{}
		if err := firstError(decode(request.ctx.PostBody(), &body), body.validate()); err != nil {
			return false, err
		}
		return false, e.runOperation(request, OperationSpawn, id, body, fasthttp.StatusCreated)
	}
	if method == fasthttp.MethodPost && len(parts) == 5 && parts[3] == "services" {
		return false, e.handleServiceCall(request, id, spool.ServiceName(parts[4]))
	}
	return false, spool.Refuse(spool.CodeNotFound, "route does not exist")
}

// handleStart serves POST /v1/programs.
func (e *Entry) handleStart(request *callerRequest) error {
	body := StartRequest{}
	if err := decode(request.ctx.PostBody(), &body); err != nil {
		return err
	}
	if err := body.validate(); err != nil {
		return err
	}
	return e.runOperation(request, OperationStart, e.newProgramID(), body, fasthttp.StatusCreated)
}

// handleServiceCall serves POST /v1/programs/{id}/services/{service}.
func (e *Entry) handleServiceCall(request *callerRequest, id spool.ProgramID, service spool.ServiceName) error {
	body := ServiceRequest{}
	if err := decode(request.ctx.PostBody(), &body); err != nil {
		return err
	}
	if body.Service != "" && body.Service != service {
		return spool.Refuse(spool.CodeBadRequest, "service differs from the one in the path")
	}
	body.Service = service
	if err := firstError(body.validate(), checkName("service", string(service), maxNameBytes, true)); err != nil {
		return err
	}
	return e.runOperation(request, OperationService, id, body, fasthttp.StatusOK, body.DeadlineIn)
}

// handleCall serves POST /v1/programs/{id}/calls.
func (e *Entry) handleCall(request *callerRequest, id spool.ProgramID) (streaming bool, err error) {
	body := CallRequest{}
	if err := decode(request.ctx.PostBody(), &body); err != nil {
		return false, err
	}
	if err := body.validate(); err != nil {
		return false, err
	}
	operation := e.newOperation(request, OperationCall, id, body, body.DeadlineIn)
	if body.Stream {
		return e.respondWithStream(request, operation, nativeEncoder{})
	}
	return false, e.respondWithResult(request, operation, fasthttp.StatusOK)
}

// newOperation returns an operation with the account and the key of the request
// and the JSON encoding of body. deadlineIn is relative to now; 0 sets no
// deadline.
func (e *Entry) newOperation(request *callerRequest, name string, id spool.ProgramID, body any, deadlineIn clock.Millis) Operation {
	operation := Operation{Name: name, Account: request.account, KeyID: request.keyID, Program: id}
	if body != nil {
		operation.Body, _ = json.Marshal(body)
	}
	if deadlineIn > 0 {
		operation.Deadline = e.clock.Now() + deadlineIn
	}
	return operation
}

// runOperation runs the named operation on the program id and responds with its
// result and the HTTP status. deadlineIn is optional, relative to now; only its
// first value is used.
func (e *Entry) runOperation(request *callerRequest, name string, id spool.ProgramID, body any, status int, deadlineIn ...clock.Millis) error {
	relativeDeadline := clock.Millis(0)
	if len(deadlineIn) > 0 {
		relativeDeadline = deadlineIn[0]
	}
	return e.respondWithResult(request, e.newOperation(request, name, id, body, relativeDeadline), status)
}

// respondWithResult runs an operation and responds with its result as one JSON
// object. On an error it writes no response.
func (e *Entry) respondWithResult(request *callerRequest, operation Operation, status int) error {
	ctx, cancel := e.contextWhileKeyValid(e.ctx, request.keyID)
	defer cancel()
	body, err := e.execute(ctx, operation, func(Event) error { return nil })
	if err != nil {
		return err
	}
	e.writeJSON(request.ctx, status, body)
	return nil
}

// writeJSON writes a response with the JSON encoding of body, or a refusal with
// CodeInternal if body cannot be encoded.
func (e *Entry) writeJSON(ctx *fasthttp.RequestCtx, status int, body any) {
	encoded, err := json.Marshal(body)
	if err != nil {
		e.writeRefusal(ctx, spool.Refuse(spool.CodeInternal, "answer does not encode").WithNotRun(spool.NotRunUnknown))
		return
	}
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/json")
	ctx.SetBody(encoded)
}

// errorBody is the response body of a refused request.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Code       spool.Code   `json:"code"`
	Message    string       `json:"message"`
	NotRun     spool.NotRun `json:"notRun"`
	RetryAfter clock.Millis `json:"retryAfterMs"`
}

func newErrorBody(refusal *spool.Refusal) errorBody {
	return errorBody{Error: errorDetail{
		Code: refusal.Code, Message: refusal.Message, NotRun: refusal.NotRun, RetryAfter: refusal.RetryAfter,
	}}
}

// writeRefusal writes the response of a refused request and counts the refusal.
// The Retry-After header is in seconds, rounded up.
func (e *Entry) writeRefusal(ctx *fasthttp.RequestCtx, refusal *spool.Refusal) {
	e.telemetry.CountRefusal(refusal.Code)
	if refusal.RetryAfter > 0 {
		seconds := (refusal.RetryAfter + millisPerSecond - 1) / millisPerSecond
		ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, strconv.FormatInt(int64(seconds), 10))
	}
	encoded, _ := json.Marshal(newErrorBody(refusal))
	ctx.SetStatusCode(refusal.Status())
	ctx.SetContentType("application/json")
	ctx.SetBody(encoded)
}

// asRefusal returns the refusal that err wraps, or an internal refusal with the
// text of err.
func asRefusal(err error) *spool.Refusal {
	if refusal := refusalOf(err); refusal != nil {
		return refusal
	}
	return spool.Refuse(spool.CodeInternal, "%v", err).WithNotRun(spool.NotRunUnknown)
}

// oneCallProgramID returns the identifier of the one-call program that runs a
// chat request without a program. It is derived from the account and the callId,
// so that a repeated request reaches the same program and is recognized. An empty
// callId yields a random identifier.
func (e *Entry) oneCallProgramID(account spool.AccountID, call string) spool.ProgramID {
	if call == "" {
		return e.newProgramID()
	}
	sum := sha256.Sum256([]byte(string(account) + "\x00" + call))
	return spool.ProgramID(programIDEncoding.EncodeToString(sum[:programIDBytes]))
}

// detachedContext returns a context for work that continues after the response
// has been sent. It ends after ForwardFor or when the entry shuts down.
func (e *Entry) detachedContext() (context.Context, context.CancelFunc) {
	return context.WithTimeout(e.ctx, e.config.ForwardFor.Duration())
}
