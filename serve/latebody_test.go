package serve

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shedkeel.org/shedkeel"
)

// callbackReader calls a function before it returns the end of a body.
type callbackReader struct {
	io.Reader
	atEnd func()
}

func (reader *callbackReader) Read(buffer []byte) (int, error) {
	count, err := reader.Reader.Read(buffer)
	if errors.Is(err, io.EOF) {
		reader.atEnd()
	}
	return count, err
}

// TestConfigChangesWhileBodyArrives guards against requests that are served by a configuration that was replaced, or became too old,
// after their heads but before their bodies had come: with a key that has been removed, for up to 10 s.
func TestConfigChangesWhileBodyArrives(t *testing.T) {
	cases := map[string]struct {
		change     func(config *shedkeel.ServingConfig)
		aged       time.Duration // by how much the proof of the configuration ages meanwhile
		wantStatus int
	}{
		"nothing changes":              {func(*shedkeel.ServingConfig) {}, 0, http.StatusOK},
		"the key is removed":           {func(config *shedkeel.ServingConfig) { config.Accounts[0].Keys = []string{"k2"} }, 0, http.StatusUnauthorized},
		"the route is removed":         {func(config *shedkeel.ServingConfig) { config.Routes = config.Routes[:1] }, 0, http.StatusNotFound},
		"the configuration is too old": {func(*shedkeel.ServingConfig) {}, 2 * time.Second, http.StatusServiceUnavailable},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			harness := newHarness(t, step{status: http.StatusOK, body: "done"})
			harness.RefuseStaleKeys = true
			var view atomic.Pointer[View]
			view.Store(NewView(testConfig()))
			harness.CurrentConfig = func() ConfigState {
				return ConfigState{View: view.Load(), ProvenAt: time.Duration(harness.provenAt.Load())}
			}
			body := &callbackReader{strings.NewReader("fee 17"), func() {
				changed := testConfig()
				test.change(changed)
				view.Store(NewView(changed))
				harness.provenAt.Add(-int64(test.aged))
			}}
			request := httptest.NewRequest(http.MethodPost, "/once/a", body)
			request.Host = "h"
			request.Header.Set("Id", "r1")
			request.Header.Set("Key", "k1")
			answer := httptest.NewRecorder()
			harness.ServeHTTP(answer, request)
			assert.Equal(t, answer.Code, test.wantStatus, answer.Body.String())
			assert.Equal(t, len(harness.backend.requests) > 0, test.wantStatus == http.StatusOK, "requests at servers")
		})
	}
}
