package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"
)

// maxControlResponse is how many bytes are read of a response.
const maxControlResponse = 16 << 20

// controlClient calls the API of a control process for operators.
type controlClient struct {
	address string // HOST:PORT
	client  *http.Client
}

func newControlClient(address string, timeout time.Duration) *controlClient {
	return &controlClient{address: address, client: &http.Client{Timeout: timeout}}
}

// do sends a request and returns the body of its response. It fails if the status is neither 200 nor 204.
func (c *controlClient) do(ctx context.Context, method, path string, query url.Values, body io.Reader) ([]byte, error) {
	target := url.URL{Scheme: "http", Host: c.address, Path: path, RawQuery: query.Encode()}
	request, err := http.NewRequestWithContext(ctx, method, target.String(), body)
	if err != nil {
		return nil, err
	}
	response, err := c.client.Do(request)
	if err != nil {
		return nil, fmt.Errorf("asking the control process: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(io.LimitReader(response.Body, maxControlResponse))
	if err != nil {
		return nil, fmt.Errorf("asking the control process: %w", err)
	}
	if response.StatusCode != http.StatusOK && response.StatusCode != http.StatusNoContent {
		return nil, fmt.Errorf("the control process answered %d: %s", response.StatusCode, strings.TrimSpace(string(text)))
	}
	return text, nil
}

// printJSON decodes a response into a value of its type, and prints that indented: fields that this build does not
// know are left out.
func printJSON(text []byte, into any, out io.Writer) error {
	if err := json.Unmarshal(text, into); err != nil {
		return fmt.Errorf("reading the answer of the control process: %w", err)
	}
	return encodeIndented(into, out)
}

// encodeIndented prints a value as JSON with an indent of two spaces.
func encodeIndented(value any, out io.Writer) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}
