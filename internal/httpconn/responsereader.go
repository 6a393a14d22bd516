package httpconn

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/pkg/errors"
	"golang.org/x/net/http/httpguts"
)

const (
	// maxHeadBytes is the maximum size of the head of a response, with the interim
	// responses before it.
	maxHeadBytes = 64 << 10
	// initialHeadBytes is the initial capacity of the buffer for a head. Most heads fit
	// into it, with the bytes that arrive together with them.
	initialHeadBytes = 1 << 10
	// minStatus and maxStatus bound the status codes of HTTP.
	minStatus = 100
	maxStatus = 599
	// maxQuotedBytes is the number of bytes of an invalid field that an error quotes.
	maxQuotedBytes = 80
	// statusDigits is the number of digits of a status code.
	statusDigits = 3
)

// errInvalidHead means that the head of a response is not valid. The other errors wrap it
// and tell why.
var (
	errInvalidHead        = errors.New("invalid response head")
	errHeadTooLarge       = errors.WithMessagef(errInvalidHead, "head exceeds %d bytes", maxHeadBytes)
	errInvalidStatusLine  = errors.WithMessage(errInvalidHead, "invalid status line")
	errInvalidField       = errors.WithMessage(errInvalidHead, "invalid header field")
	errUnexpectedProtocol = errors.WithMessage(errInvalidHead, "change of the protocol without a request for it")
)

// lineEnd ends each line of a head. A line that has nothing else ends the head.
var lineEnd = []byte("\r\n")

// ResponseReader reads the responses of one connection with the parser of net/http. It
// checks each head before the parser reads it, because the parser accepts status codes
// that HTTP does not have and field names with blanks, and keeps a head of any size in
// memory. It is not safe for concurrent use.
type ResponseReader struct {
	// reader reads from input. Bodies are read from it, too.
	reader *bufio.Reader
	input  *pushbackReader
}

// NewResponseReader returns a reader of the responses that arrive on conn.
func NewResponseReader(conn io.Reader) *ResponseReader {
	input := &pushbackReader{source: conn}
	return &ResponseReader{input: input, reader: bufio.NewReaderSize(input, readBufferSize)}
}

// Next reads the head of the next response to a request with the given method. It skips
// interim responses. onHead, unless nil, receives the status and the header of each
// response, interim ones included. The body of the response before must have been read.
//
// It fails with io.ErrUnexpectedEOF if the connection ends before the head does, with an
// error that says so if the head is invalid or exceeds 64 KiB, and with the error of the
// connection otherwise. The connection must then be closed.
func (r *ResponseReader) Next(method string, onHead func(status int, header http.Header)) (*http.Response, error) {
	request := &http.Request{Method: method}
	for left := maxHeadBytes; ; {
		head, err := r.readHead(left)
		if err != nil {
			return nil, err
		}
		left -= len(head)
		r.unread(head)
		response, err := http.ReadResponse(r.reader, request)
		if err != nil {
			// The whole head has arrived, so that the error is one of the head.
			return nil, errors.WithMessage(errInvalidHead, err.Error())
		}
		if onHead != nil {
			onHead(response.StatusCode, response.Header)
		}
		if response.StatusCode >= http.StatusOK {
			return response, nil
		}
	}
}

// Buffered returns the number of bytes that have arrived after the response that was read
// last, as far as they are known. They belong to no request.
func (r *ResponseReader) Buffered() int { return r.reader.Buffered() + len(r.input.pending) }

// readHead reads a head of at most maxBytes, with the empty line at its end, and checks
// each of its lines as soon as it has arrived.
func (r *ResponseReader) readHead(maxBytes int) (head []byte, err error) {
	head = make([]byte, 0, initialHeadBytes)
	for lineStart := 0; ; {
		part, err := r.reader.ReadSlice('\n')
		head = append(head, part...)
		switch {
		case len(head) > maxBytes:
			return nil, errHeadTooLarge
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		case errors.Is(err, io.EOF):
			return nil, io.ErrUnexpectedEOF
		case err != nil:
			return nil, err
		}
		line := head[lineStart:]
		switch {
		case lineStart == 0:
			err = checkStatusLine(line)
		case bytes.Equal(line, lineEnd):
			return head, nil
		default:
			err = checkField(line)
		}
		if err != nil {
			return nil, err
		}
		lineStart = len(head)
	}
}

// unread makes the parser read head, which readHead has returned, before the bytes that
// follow it.
func (r *ResponseReader) unread(head []byte) {
	buffered, _ := r.reader.Peek(r.reader.Buffered())
	r.input.pending = append(append(head, buffered...), r.input.pending...)
	r.reader.Reset(r.input)
}

// checkStatusLine fails unless line is the first line of an HTTP/1 response whose status
// code is in the range of HTTP, and ends with lineEnd.
func checkStatusLine(line []byte) error {
	text, ended := strings.CutSuffix(string(line), string(lineEnd))
	version, rest, _ := strings.Cut(text, " ")
	if major, _, ok := http.ParseHTTPVersion(version); !ok || major != 1 || !ended {
		return errInvalidStatusLine
	}
	code, _, _ := strings.Cut(rest, " ")
	status, err := strconv.ParseUint(code, 10, 0)
	switch {
	case err != nil || len(code) != statusDigits || status < minStatus || status > maxStatus:
		return errInvalidStatusLine
	case status == http.StatusSwitchingProtocols:
		return errUnexpectedProtocol
	}
	return nil
}

// checkField fails unless line has a valid field name and ends with lineEnd. The parser
// checks the value. A line that continues the one before is rejected, and so is a lone line
// feed: in a name it would end the line or the whole head, and what follows would be read
// as the body.
func checkField(line []byte) error {
	name, _, _ := bytes.Cut(line, []byte(":"))
	if !httpguts.ValidHeaderFieldName(string(name)) || !bytes.HasSuffix(line, lineEnd) {
		return errors.Wrapf(errInvalidField, "%.*q", maxQuotedBytes, line)
	}
	return nil
}

// pushbackReader reads pending bytes before those of source.
type pushbackReader struct {
	source  io.Reader
	pending []byte
}

// Read implements io.Reader.
func (p *pushbackReader) Read(buffer []byte) (n int, err error) {
	if len(p.pending) == 0 {
		return p.source.Read(buffer)
	}
	n = copy(buffer, p.pending)
	if p.pending = p.pending[n:]; len(p.pending) == 0 {
		// An idle connection needs no memory for the last head.
		p.pending = nil
	}
	return n, nil
}
