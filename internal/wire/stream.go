package wire

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"
	"github.com/sourcegraph/jsonrpc2"
)

// errInvalidFrame means that a frame's Content-Length header is missing, is not a
// number or is not above 0.
var errInvalidFrame = errors.New("frame has no valid Content-Length")

const (
	contentLengthHeader = "Content-Length: "
	// maxPreallocatedFrame is the size in bytes of the largest frame whose buffer is
	// allocated before its content has been received. The buffer of a larger frame
	// grows with the received content, so that a peer cannot make this process
	// allocate memory by sending only a large Content-Length.
	maxPreallocatedFrame = 64 << 10
)

// frameStream reads and writes the messages of one connection: JSON-RPC 2.0
// objects with a Content-Length header, framed like jsonrpc2.VSCodeObjectCodec.
//
// The jsonrpc2 library decodes the parameters of each message into maps, encodes
// them again, and encodes each message three times. To avoid this cost,
// frameStream hides parameters and results from the library's codec and does not pass
// chunks through the library at all.
type frameStream struct {
	conn   net.Conn
	reader *bufio.Reader
	// onChunk receives the chunks. It is nil on a server. It runs on the goroutine
	// that calls ReadObject, so that it has received all chunks of a call before the
	// reply is processed.
	onChunk func(envelope)
	// payload holds the parameters or the result of the last message read; nil if it
	// had neither. Only the goroutine that calls ReadObject uses it.
	payload json.RawMessage

	// request or response is the message that WriteObject writes next; the other one
	// is nil. jsonrpc2 calls the OnSend hook and WriteObject under one lock, which
	// guards both fields.
	request  *jsonrpc2.Request
	response *jsonrpc2.Response

	// waitingWriters is the number of goroutines in write that wait for mu. A
	// goroutine flushes writer only if no other one waits, so that a busy connection
	// sends several frames with one system call.
	waitingWriters atomic.Int32
	// mu guards writer.
	mu     sync.Mutex
	writer *bufio.Writer
}

func newFrameStream(conn net.Conn, onChunk func(envelope)) *frameStream {
	return &frameStream{conn: conn, reader: bufio.NewReader(conn), writer: bufio.NewWriter(conn), onChunk: onChunk}
}

// options returns the options of a jsonrpc2 connection that uses the stream. Its hooks
// pass the parameters and results between the library and the stream.
func (s *frameStream) options() []jsonrpc2.ConnOpt {
	return []jsonrpc2.ConnOpt{
		discardLogs,
		jsonrpc2.OnSend(func(request *jsonrpc2.Request, response *jsonrpc2.Response) {
			s.request, s.response = request, response
		}),
		jsonrpc2.OnRecv(func(request *jsonrpc2.Request, response *jsonrpc2.Response) {
			// The library keeps the pointer for longer than until the next message is
			// read, which overwrites s.payload. The pointer must therefore refer to a copy.
			payload := s.payload
			switch {
			case payload == nil:
			case response != nil:
				response.Result = &payload
			case request != nil:
				request.Params = &payload
			}
		}),
	}
}

// WriteObject writes the message that the OnSend hook has stored in request or
// response. It encodes message itself only for replies without a result, such as
// errors.
func (s *frameStream) WriteObject(message any) error {
	request, response := s.request, s.response
	frame := make([]byte, 0, 256)
	switch {
	case request != nil:
		frame = append(appendString(append(frame, `{"method":`...), request.Method), `,"params":`...)
		if request.Params == nil {
			frame = append(frame, "{}"...)
		} else {
			frame = append(frame, *request.Params...)
		}
		if !request.Notif {
			frame = appendID(frame, request.ID)
		}
	case response != nil && response.Error == nil && response.Result != nil:
		frame = append(append(frame, `{"result":`...), *response.Result...)
		frame = appendID(frame, response.ID)
	default:
		body, err := json.Marshal(message)
		if err != nil {
			return err
		}
		return s.write(body)
	}
	return s.write(append(frame, frameSuffix...))
}

// frameSuffix ends every frame that this package encodes without encoding/json.
const frameSuffix = `,"jsonrpc":"2.0"}`

// chunkFramePrefix starts every frame that sendChunk writes.
const chunkFramePrefix = `{"method":"` + methodChunk + `","params":`

// sendChunk writes a chunk as a JSON-RPC notification. It is safe for concurrent use.
func (s *frameStream) sendChunk(chunk envelope) error {
	frame := append(make([]byte, 0, len(chunk.Body)+128), chunkFramePrefix...)
	return s.write(append(chunk.append(frame), frameSuffix...))
}

func (s *frameStream) write(frame []byte) error {
	s.waitingWriters.Add(1)
	s.mu.Lock()
	defer s.mu.Unlock()
	flush := s.waitingWriters.Add(-1) == 0
	header := strconv.AppendInt(append(make([]byte, 0, 32), contentLengthHeader...), int64(len(frame)), 10)
	// bufio.Writer keeps its first error, so the next Write returns an error that
	// occurs here.
	_, _ = s.writer.Write(append(header, "\r\n\r\n"...))
	if _, err := s.writer.Write(frame); err != nil || !flush {
		return err
	}
	return s.writer.Flush()
}

// frameFields contains the top-level fields of a frame, whose values are not decoded
// except for Method.
type frameFields struct {
	ID     json.RawMessage `json:"id,omitempty"`
	Method *string         `json:"method,omitempty"`
	Params json.RawMessage `json:"params,omitempty"`
	Result json.RawMessage `json:"result,omitempty"`
	Error  json.RawMessage `json:"error,omitempty"`
}

// ReadObject decodes the next message into target and stores its parameters or result
// in payload. If onChunk is set, ReadObject passes frames that sendChunk has written to
// onChunk instead and continues with the next message.
func (s *frameStream) ReadObject(target any) error {
	for {
		frame, err := s.readFrame()
		if err != nil {
			return err
		}
		if s.onChunk != nil {
			if chunk, ok := parseChunk(frame); ok {
				s.onChunk(chunk)
				continue
			}
		}
		return s.decode(frame, target)
	}
}

func (s *frameStream) decode(frame []byte, target any) error {
	s.payload = nil
	var fields frameFields
	if err := json.Unmarshal(frame, &fields); err != nil {
		return err
	}
	switch {
	case fields.Method != nil && len(fields.Params) > 0:
		s.payload, fields.Params = fields.Params, nil
	case fields.Method == nil && len(fields.Result) > 0 && len(fields.Error) == 0:
		s.payload, fields.Result = fields.Result, json.RawMessage("null")
	default:
		return json.Unmarshal(frame, target)
	}
	remaining, err := json.Marshal(fields)
	if err != nil {
		return err
	}
	return json.Unmarshal(remaining, target)
}

func (s *frameStream) readFrame() ([]byte, error) {
	length := int64(-1)
	for {
		line, err := s.reader.ReadSlice('\n')
		if err != nil {
			return nil, err
		}
		header := strings.TrimSuffix(string(line), "\r\n")
		if header == "" {
			break
		}
		if value, ok := strings.CutPrefix(header, contentLengthHeader); ok {
			if length, err = strconv.ParseInt(value, 10, 32); err != nil {
				return nil, errInvalidFrame
			}
		}
	}
	if length <= 0 {
		return nil, errInvalidFrame
	}
	if length <= maxPreallocatedFrame {
		frame := make([]byte, length)
		_, err := io.ReadFull(s.reader, frame)
		return frame, err
	}
	var frame bytes.Buffer
	if _, err := io.CopyN(&frame, s.reader, length); err != nil {
		return nil, err
	}
	return frame.Bytes(), nil
}

// Close closes the connection.
func (s *frameStream) Close() error { return s.conn.Close() }

// parseChunk returns the chunk in a frame that has the layout of sendChunk. ok is false
// for other frames.
func parseChunk(frame []byte) (chunk envelope, ok bool) {
	params, ok := bytes.CutPrefix(frame, []byte(chunkFramePrefix))
	if !ok {
		return chunk, false
	}
	params, ok = bytes.CutSuffix(params, []byte(frameSuffix))
	if !ok {
		return chunk, false
	}
	return parseEnvelope(params)
}

func appendID(frame []byte, id jsonrpc2.ID) []byte {
	frame = append(frame, `,"id":`...)
	if id.IsString {
		return appendString(frame, id.Str)
	}
	return strconv.AppendUint(frame, id.Num, 10)
}

// appendString appends text to frame as a JSON string. It uses encoding/json only if
// text contains a character that may need escaping.
func appendString(frame []byte, text string) []byte {
	for i := range len(text) {
		if char := text[i]; char < ' ' || char > '~' || char == '"' || char == '\\' {
			quoted, _ := json.Marshal(text)
			return append(frame, quoted...)
		}
	}
	frame = append(frame, '"')
	frame = append(frame, text...)
	return append(frame, '"')
}
