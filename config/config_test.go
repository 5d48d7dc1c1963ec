package config

import (
	"errors"
	"os"
	"reflect"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"shedkeel.org/shedkeel"
)

// goodSettings is a valid settings file of 15 lines.
const goodSettings = `node = "n1"
zone = "z"
[entry]
listen = "127.0.0.1:1"
admin = "127.0.0.1:2"
[keeper]
operator = "127.0.0.1:3"
operator_key = "k"
peers = ["127.0.0.1:4"]
[wire]
listen = "127.0.0.1:4"
key = "w"
[platform]
store = "127.0.0.1:5"
box_list = "127.0.0.1:6"
`

// TestSettings checks that ParseSettings accepts goodSettings and rejects each faulty
// change of it with an InvalidError that says what is wrong and has a remedy. The times
// that a case does not set have the values of DefaultSettings.
func TestSettings(t *testing.T) {
	cases := map[string]struct {
		change func(string) string
		want   string // part of the error; empty: no error
	}{
		"valid":             {func(text string) string { return text }, ""},
		"unknown key":       {func(text string) string { return text + "[entry2]\nx = 1\n" }, "s.toml:16: unknown key"},
		"misspelled key":    {func(text string) string { return strings.Replace(text, "admin", "admn", 1) }, "s.toml:5: unknown key entry.admn"},
		"syntax error":      {func(text string) string { return strings.Replace(text, `zone = "z"`, `zone = "z`, 1) }, "s.toml:2"},
		"number for a name": {func(text string) string { return strings.Replace(text, `node = "n1"`, `node = 7`, 1) }, "s.toml"},
		"no node":           {func(text string) string { return strings.Replace(text, `node = "n1"`, ``, 1) }, "node is missing"},
		"no wire key":       {func(text string) string { return strings.Replace(text, `key = "w"`, ``, 1) }, "wire.key is missing"},
		"store has no port": {func(text string) string { return strings.Replace(text, "127.0.0.1:5", "127.0.0.1", 1) }, "platform.store is no address"},
		"peer has no port":  {func(text string) string { return strings.Replace(text, `["127.0.0.1:4"]`, `["x"]`, 1) }, "keeper.peers is no address"},
		"permit too short":  {func(text string) string { return text + "[timing]\npermit = \"1s\"\n" }, "timing.permit is shorter"},
		"lease too short":   {func(text string) string { return text + "[timing]\nlease = \"2s\"\n" }, "timing.lease is too short"},
		"negative time":     {func(text string) string { return text + "[timing]\ntick = \"-1s\"\n" }, "timing.tick is not positive"},
		"time without unit": {func(text string) string { return text + "[timing]\ntick = \"5\"\n" }, "s.toml"},
		"max_body is zero":  {func(text string) string { return strings.Replace(text, "[keeper]", "max_body = 0\n[keeper]", 1) }, "max_body"},
		"file too long":     {func(string) string { return strings.Repeat("#", maxFileBytes+1) }, "bytes long"},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := ParseSettings("s.toml", []byte(test.change(goodSettings)))
			if test.want == "" {
				assert.NilError(t, err)
				return
			}
			var invalid *shedkeel.InvalidError
			assert.Assert(t, errors.As(err, &invalid), "the error is not an InvalidError: %v", err)
			assert.ErrorContains(t, err, test.want)
			assert.Assert(t, invalid.Remedy != "", "the error names no remedy: %v", err)
		})
	}
}

// TestSettingsAreDocumented checks that docs/OPERATIONS.md lists every key of Settings.
func TestSettingsAreDocumented(t *testing.T) {
	page, err := os.ReadFile("../docs/OPERATIONS.md")
	assert.NilError(t, err)
	assertDocumented(t, string(page), "", reflect.TypeFor[Settings]())
}

// assertDocumented checks that the page lists the keys of one table, each with the prefix,
// and the keys of each subtable, whose prefix also has the subtable's name.
func assertDocumented(t *testing.T, page, prefix string, kind reflect.Type) {
	t.Helper()
	for field := range kind.Fields() {
		key := prefix + field.Tag.Get("toml")
		if field.Type.Kind() == reflect.Struct {
			assertDocumented(t, page, key+".", field.Type)
			continue
		}
		assert.Check(t, strings.Contains(page, "`"+key+"`"), "docs/OPERATIONS.md lacks `%s`", key)
	}
}

// keyHash is the SHA-256 of "hello" in hex.
const keyHash = "2cf24dba5fb0a30e26e83b2ac5b9e29e1b161e5c1fa7425e73043362938b9824"

// goodDocument is a valid document with a service of each kind and an account.
const goodDocument = `entry_boxes = 3
[[service]]
id = "m"
kind = "model"
groups = 2
members = 8
zones = ["z"]
capacity = 4
timeout = "30s"
[[service]]
id = "p"
kind = "plain"
capacity = 4
timeout = "5s"
backends = [{ id = "b", address = "127.0.0.1:1", zone = "z" }]
[[account]]
id = "a"
key_sha256 = "` + keyHash + `"
services = ["p"]
`

// TestDocument checks that goodDocument is valid and that each faulty change of it is
// rejected with an error that says what is wrong.
func TestDocument(t *testing.T) {
	replace := func(from, to string) string { return strings.Replace(goodDocument, from, to, 1) }
	cases := map[string]struct {
		text string
		want string // part of the error; empty: no error
	}{
		"valid":                       {goodDocument, ""},
		"unknown key":                 {goodDocument + "size = 1\n", "unknown key"},
		"no entry boxes":              {replace("entry_boxes = 3", ""), "entry_boxes"},
		"duplicate service":           {replace(`id = "p"`, `id = "m"`), "its id is empty or taken"},
		"unknown kind":                {replace(`kind = "plain"`, `kind = "plane"`), `kind "plane" is unknown`},
		"no timeout":                  {replace(`timeout = "5s"`, ""), "timeout is missing"},
		"no capacity":                 {replace("capacity = 4", "capacity = 0"), "capacity is not positive"},
		"negative wait":               {replace(`timeout = "5s"`, "timeout = \"5s\"\nmax_wait = \"-1s\""), "max_wait is negative"},
		"negative groups":             {replace("groups = 2", "groups = -2"), "out of range"},
		"no zones":                    {replace(`zones = ["z"]`, "zones = []"), "out of range"},
		"model with backends":         {replace(`timeout = "30s"`, "timeout = \"30s\"\nbackends = [{ id = \"b\", address = \"x:1\", zone = \"z\" }]"), "belong to plain services"},
		"plain without backends":      {replace(`backends = [{ id = "b", address = "127.0.0.1:1", zone = "z" }]`, ""), "a plain service has backends"},
		"key instead of its hash":     {replace(keyHash, "hello"), "no SHA-256"},
		"account for unknown service": {replace(`services = ["p"]`, `services = ["q"]`), `service "q" does not exist`},
		"negative rate":               {goodDocument + "rate = -1.0\n", "rate or weight is negative"},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			err := checkText(test.text)
			if test.want == "" {
				assert.NilError(t, err)
				return
			}
			assert.ErrorContains(t, err, test.want)
		})
	}
}

// checkText parses and validates the text of a document.
func checkText(text string) error {
	document, err := ParseDocument("d.toml", []byte(text))
	if err != nil {
		return err
	}
	return Check("d.toml", &shedkeel.Config{EntryBoxes: document.EntryBoxes, Services: document.Services, Accounts: document.Accounts})
}

// FuzzSettings checks that ParseSettings fails only with an InvalidError.
func FuzzSettings(f *testing.F) {
	f.Add(goodSettings)
	f.Add("[entry]\nlisten = 5")
	f.Fuzz(func(t *testing.T, text string) {
		_, err := ParseSettings("s.toml", []byte(text))
		var invalid *shedkeel.InvalidError
		assert.Assert(t, err == nil || errors.As(err, &invalid), "the error is not an InvalidError: %v", err)
	})
}

// FuzzDocument checks that parsing and checking a document fails only with an
// InvalidError.
func FuzzDocument(f *testing.F) {
	f.Add(goodDocument)
	f.Add("[[service]]\ntimeout = \"1h\"")
	f.Fuzz(func(t *testing.T, text string) {
		err := checkText(text)
		var invalid *shedkeel.InvalidError
		assert.Assert(t, err == nil || errors.As(err, &invalid), "the error is not an InvalidError: %v", err)
	})
}
