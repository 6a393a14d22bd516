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

// errInvalidFrame means that the peer violated the framing protocol.
var errInvalidFrame = errors.New("frame has no valid Content-Length")

const (
	contentLengthHeader = "Content-Length: "
	// maxPreallocatedFrame is the size in bytes of the largest frame whose buffer is
	// allocated before its content has been received. A larger buffer grows with the
	// content, so that a forged length costs no memory.
	maxPreallocatedFrame = 64 << 10
)

// frameStream reads and writes the messages of one connection: JSON-RPC 2.0
// objects with a Content-Length header, framed like jsonrpc2.VSCodeObjectCodec.
//
// The jsonrpc2 library decodes the parameters of each message into maps, encodes
// them again, and encodes each message three times. To avoid this cost,
// frameStream handles parameters and results itself and does not pass chunks
// through the library.
type frameStream struct {
	conn   net.Conn
	reader *bufio.Reader
	// onChunk receives the chunks. It is nil on a server. It runs on the reader
	// goroutine, which keeps chunks and the reply after them in order.
	onChunk func(envelope)
	// payload holds the parameters or the result of the last message read. Only
	// the reader goroutine uses it.
	payload json.RawMessage

	// request and response hold the message that is about to be written; one of
	// them is nil. They are guarded by the lock that jsonrpc2 holds while sending.
	request  *jsonrpc2.Request
	response *jsonrpc2.Response

	// waitingWriters is the number of writers that wait for mu. A writer flushes
	// only when no other one waits, so that a busy connection writes several frames
	// at once.
	waitingWriters atomic.Int32
	mu             sync.Mutex
	writer         *bufio.Writer
}

func newFrameStream(conn net.Conn, onChunk func(envelope)) *frameStream {
	return &frameStream{conn: conn, reader: bufio.NewReader(conn), writer: bufio.NewWriter(conn), onChunk: onChunk}
}

// options returns the hooks through which a jsonrpc2 connection exchanges
// parameters and results with the stream.
func (s *frameStream) options() []jsonrpc2.ConnOpt {
	return []jsonrpc2.ConnOpt{
		discardLogs,
		jsonrpc2.OnSend(func(request *jsonrpc2.Request, response *jsonrpc2.Response) {
			s.request, s.response = request, response
		}),
		jsonrpc2.OnRecv(func(request *jsonrpc2.Request, response *jsonrpc2.Response) {
			// This copy is needed because the receiver keeps the pointer after the next
			// message has been read.
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

// WriteObject writes the message that the OnSend hook has stored. It uses message
// only for replies without a result, such as errors.
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

const frameSuffix = `,"jsonrpc":"2.0"}`

// chunkFramePrefix starts every chunk frame that this package writes.
const chunkFramePrefix = `{"method":"` + methodChunk + `","params":`

// sendChunk writes a chunk as a notification.
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
	// bufio.Writer keeps its first error, so a failure of the header is returned
	// by the next write or flush.
	_, _ = s.writer.Write(append(header, "\r\n\r\n"...))
	if _, err := s.writer.Write(frame); err != nil || !flush {
		return err
	}
	return s.writer.Flush()
}

// frameFields holds the top-level fields of a frame without decoding them.
type frameFields struct {
	ID     json.RawMessage `json:"id,omitempty"`
	Method *string         `json:"method,omitempty"`
	Params json.RawMessage `json:"params,omitempty"`
	Result json.RawMessage `json:"result,omitempty"`
	Error  json.RawMessage `json:"error,omitempty"`
}

// ReadObject decodes the next message that is not a chunk into target. It passes
// chunks to onChunk.
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

// parseChunk returns the chunk of a frame that sendChunk has written. ok is false
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

// appendString appends text as a JSON string.
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
