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

	"github.com/corkpulley/corkpulley/internal/core/errkind"
)

// BodyTimeout bounds how long a caller may take to send a request's body.
const BodyTimeout = 15 * time.Second

const mediaTypeJSON = "application/json"

// DecodeJSON reads one JSON object of at most limit bytes into a pointer to a
// struct. A wrong content type or encoding, an oversized or slow body, and each
// mistake in the object give an *errkind.Error that names it.
func DecodeJSON(w http.ResponseWriter, r *http.Request, limit int64, into any) error {
	return decodeWithin(w, r, limit, BodyTimeout, into)
}

func decodeWithin(w http.ResponseWriter, r *http.Request, limit int64, timeout time.Duration, into any) error {
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
	// Not every ResponseWriter supports deadlines (tests' recorders do not).
	controller := http.NewResponseController(w)
	_ = controller.SetReadDeadline(time.Now().Add(timeout))
	content, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		// After an error the deadline stays: net/http reads what is left of the
		// body before it answers, and would wait for it without end.
		_ = controller.SetReadDeadline(time.Time{})
		return content, nil
	case errors.As(err, &tooLarge):
		return nil, errkind.New(errkind.PayloadTooLarge, "body is larger than %d bytes", limit)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, errkind.New(errkind.RequestTimeout, "body was not received within %s", timeout)
	default:
		return nil, errkind.New(errkind.InvalidRequest, "body was not received whole: %v", err)
	}
}

// checkObject refuses what the decoder would let pass: "null" leaves the struct
// as it is, and bytes that are not UTF-8 would be replaced in silence.
func checkObject(content []byte) error {
	trimmed := bytes.TrimSpace(content)
	switch {
	case len(trimmed) == 0:
		return errkind.New(errkind.InvalidRequest, "body is empty, expected a JSON object")
	case !utf8.Valid(content):
		return errkind.New(errkind.InvalidRequest, "body is not valid UTF-8")
	case trimmed[0] != '{' && json.Valid(trimmed):
		return errkind.New(errkind.InvalidRequest, "body is another JSON value, expected a JSON object")
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
		return errkind.New(errkind.InvalidRequest, "body ends too early, expected a whole JSON object")
	case errors.As(err, &syntax):
		return errkind.New(errkind.InvalidRequest, "body is not valid JSON at byte %d: %v", syntax.Offset, err)
	default:
		return errkind.New(errkind.InvalidRequest, "body is not the expected JSON object: %s",
			strings.TrimPrefix(err.Error(), "json: "))
	}
}

// jsonPath drops the names of embedded structs, which no caller sees: the
// names of fields in bodies begin with a small letter.
func jsonPath(path string) string {
	var visible []string
	for name := range strings.SplitSeq(path, ".") {
		if strings.ToLower(name) == name {
			visible = append(visible, name)
		}
	}
	return strings.Join(visible, ".")
}

// describeType names a Go type in the words of JSON.
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
