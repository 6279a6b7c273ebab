package httpapi

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"mime"
	"net/http"
	"os"
	"reflect"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/go-faster/errors"

	"github.com/corkpulley/corkpulley/internal/boundedhttp"
	"github.com/corkpulley/corkpulley/internal/core/errkind"
)

// BodyTimeout bounds how long a caller may take to send a request's body.
const BodyTimeout = 15 * time.Second

const mediaTypeJSON = "application/json"

// DecodeJSON decodes a JSON object of at most limit bytes into a pointer to a
// struct. It rejects unknown fields. Errors are *errkind.Error:
// UnsupportedMediaType, PayloadTooLarge, RequestTimeout after BodyTimeout, and
// InvalidRequest for an invalid object.
func DecodeJSON(w http.ResponseWriter, r *http.Request, limit int64, into any) error {
	return decodeJSONWithin(w, r, limit, BodyTimeout, into)
}

func decodeJSONWithin(w http.ResponseWriter, r *http.Request, limit int64, timeout time.Duration, into any) error {
	if err := checkMediaType(r.Header); err != nil {
		return err
	}
	content, err := readBody(w, r, limit, timeout)
	if err != nil {
		return err
	}
	if err := checkObject(content); err != nil {
		return err
	}
	if err := boundedhttp.ReserveMemory(r.Context(), elementCost*countElements(content)); err != nil {
		return err
	}
	decoder := json.NewDecoder(bytes.NewReader(content))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return decodeError(err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return errkind.New(errkind.InvalidRequest, "body has data after the JSON object")
	}
	return nil
}

func checkMediaType(header http.Header) error {
	contentType := header.Get("Content-Type")
	mediaType, parameters, err := mime.ParseMediaType(contentType)
	if err != nil || mediaType != mediaTypeJSON {
		return errkind.New(errkind.UnsupportedMediaType, "Content-Type is %q, expected %s", contentType, mediaTypeJSON)
	}
	if charset, given := parameters["charset"]; given && !strings.EqualFold(charset, "utf-8") {
		return errkind.New(errkind.UnsupportedMediaType, "charset of the body is %q, expected utf-8", charset)
	}
	encoding := header.Get("Content-Encoding")
	if encoding != "" && !strings.EqualFold(encoding, "identity") {
		return errkind.New(errkind.UnsupportedMediaType, "Content-Encoding is %q, expected an uncompressed body", encoding)
	}
	return nil
}

func readBody(w http.ResponseWriter, r *http.Request, limit int64, timeout time.Duration) ([]byte, error) {
	// Errors are ignored: httptest.ResponseRecorder does not support deadlines.
	controller := http.NewResponseController(w)
	_ = controller.SetReadDeadline(time.Now().Add(timeout))
	content, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	var tooLarge *http.MaxBytesError
	var refused *errkind.Error
	switch {
	case errors.As(err, &refused):
		return nil, refused
	case err == nil:
		// The deadline is cleared on success only: after an error, net/http reads
		// the rest of the body before it responds and must not wait indefinitely.
		_ = controller.SetReadDeadline(time.Time{})
		return content, nil
	case errors.As(err, &tooLarge):
		return nil, errkind.New(errkind.PayloadTooLarge, "body is larger than %d bytes", limit)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, errkind.New(errkind.RequestTimeout, "body was not received within %s", timeout)
	default:
		return nil, errkind.New(errkind.InvalidRequest, "reading the body failed: %v", err)
	}
}

// elementCost is the memory for a decoded JSON value besides its bytes, in bytes.
const elementCost = 128

// countElements returns the number of values in a JSON text, about.
func countElements(content []byte) int64 {
	var count int64
	inString := false
	for at := 0; at < len(content); at++ {
		switch content[at] {
		case '"':
			inString = !inString
		case '\\':
			at++
		case ',', '{', '[':
			if !inString {
				count++
			}
		}
	}
	return count
}

// checkObject rejects input that encoding/json accepts: null, which leaves the
// struct unchanged, and invalid UTF-8, which is silently replaced.
func checkObject(content []byte) error {
	trimmed := bytes.TrimSpace(content)
	switch {
	case len(trimmed) == 0:
		return errkind.New(errkind.InvalidRequest, "body is empty, expected a JSON object")
	case !utf8.Valid(content):
		return errkind.New(errkind.InvalidRequest, "body is not valid UTF-8")
	case trimmed[0] != '{' && json.Valid(trimmed):
		return errkind.New(errkind.InvalidRequest, "body is a JSON value of another type, expected a JSON object")
	default:
		return nil
	}
}

func decodeError(err error) error {
	var wrongType *json.UnmarshalTypeError
	var syntax *json.SyntaxError
	switch {
	case errors.As(err, &wrongType):
		return errkind.New(errkind.InvalidRequest, "field %q is a %s, expected %s",
			jsonPath(wrongType.Field), wrongType.Value, describeType(wrongType.Type))
	case errors.Is(err, io.ErrUnexpectedEOF):
		return errkind.New(errkind.InvalidRequest, "body ends too early, expected a complete JSON object")
	case errors.As(err, &syntax):
		return errkind.New(errkind.InvalidRequest, "body is not valid JSON at byte %d: %v", syntax.Offset, err)
	default:
		return errkind.New(errkind.InvalidRequest, "body is not the expected JSON object: %s",
			strings.TrimPrefix(err.Error(), "json: "))
	}
}

// jsonPath removes the names of embedded Go structs from a field path; they
// contain capital letters, which JSON field names do not.
func jsonPath(path string) string {
	var visible []string
	for name := range strings.SplitSeq(path, ".") {
		if strings.ToLower(name) == name {
			visible = append(visible, name)
		}
	}
	return strings.Join(visible, ".")
}

// describeType returns the JSON term for a Go type.
func describeType(expected reflect.Type) string {
	switch expected.Kind() {
	case reflect.Pointer:
		return describeType(expected.Elem())
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		return "a whole number"
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		return "a whole number of 0 or more"
	case reflect.Float32, reflect.Float64:
		return "a number"
	case reflect.Slice, reflect.Array:
		return "an array"
	case reflect.Struct, reflect.Map:
		return "an object"
	default:
		return fmt.Sprintf("another value (%s)", expected.Kind())
	}
}
