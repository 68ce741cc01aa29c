// Package validator refuses answers that HTTP does not allow although net/http takes them.
package validator

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net/http"

	"golang.org/x/net/http/httpguts"
)

// InvalidError reports an answer that HTTP does not allow. Nothing in its head can be believed.
type InvalidError struct {
	Cause string
}

// Error returns a message with the cause.
func (e *InvalidError) Error() string { return "the answer is invalid: " + e.Cause }

// ReadResponse reads an answer like http.ReadResponse, and returns an *InvalidError if its head is not allowed. Reads of the body
// return one in place of io.EOF if the trailer is not allowed.
func ReadResponse(r *bufio.Reader, req *http.Request) (*http.Response, error) {
	resp, err := http.ReadResponse(r, req)
	if err != nil {
		return nil, err
	}
	if err := check(resp); err != nil {
		return nil, err
	}
	return resp, nil
}

// Transport checks the answers of another transport like ReadResponse.
type Transport struct {
	Base http.RoundTripper
}

// RoundTrip implements http.RoundTripper.
func (t Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := t.Base.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	if err := check(resp); err != nil {
		// An error means that the connection is closed.
		_ = resp.Body.Close()
		// Without a body, the connection is idle by now, and more may follow on it.
		t.CloseIdleConnections()
		return nil, err
	}
	return resp, nil
}

// CloseIdleConnections closes the connections that no request uses; http.Client calls it.
func (t Transport) CloseIdleConnections() {
	if base, ok := t.Base.(interface{ CloseIdleConnections() }); ok {
		base.CloseIdleConnections()
	}
}

// check returns an error if the head of an answer is not allowed, and has reads of the body check the trailer.
func check(resp *http.Response) error {
	if err := CheckStatus(resp.StatusCode); err != nil {
		return err
	}
	if err := checkNames("head", resp.Header); err != nil {
		return err
	}
	if len(resp.TransferEncoding) > 0 {
		resp.Body = &body{ReadCloser: resp.Body, resp: resp}
	}
	return nil
}

// maxStatus is the highest status of an answer (RFC 9110, section 15).
const maxStatus = 599

// CheckStatus returns an *InvalidError if an answer with the status is not final: it is below 200, or no status.
func CheckStatus(status int) error {
	if status < http.StatusOK || status > maxStatus {
		return &InvalidError{Cause: fmt.Sprintf("its status is %03d", status)}
	}
	return nil
}

// checkNames returns an error if the name of a field is no token (RFC 9110, section 5.6.2). net/http takes names with blanks,
// and takes such a field for an unknown one even if it has the length of the answer.
func checkNames(part string, h http.Header) error {
	for name, values := range h {
		// A field of the trailer that was only announced has no values.
		if len(values) > 0 && !httpguts.ValidHeaderFieldName(name) {
			return &InvalidError{Cause: fmt.Sprintf("the name of a field in its %s is %.40q", part, name)}
		}
	}
	return nil
}

// body is the body of an answer in chunks, which a trailer may follow.
type body struct {
	io.ReadCloser
	resp *http.Response
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		if invalid := checkNames("trailer", b.resp.Trailer); invalid != nil {
			return n, invalid
		}
	}
	return n, err
}
