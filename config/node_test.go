package config

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shedkeel.org/shedkeel"
)

// nodeText is a valid settings file of a node. Its last table is bounds.
const nodeText = `node = "n1"
zone = "z"
store = "127.0.0.1:1"
[listen]
callers = "127.0.0.1:2"
directory = "127.0.0.1:3"
readiness = "127.0.0.1:4"
control = "127.0.0.1:5"
[wire]
key = "k"
[bounds]
grace = "9s"
`

// TestNodeSettings checks that ReadNodeSettings accepts nodeText and valid changes of it,
// with the defaults of RetryRatio and UnreadBytes, which they omit or set to 0, and rejects each faulty change with an
// error that says what is wrong.
func TestNodeSettings(t *testing.T) {
	cases := map[string]struct {
		change func(string) string
		want   string // part of the error; empty: the file is valid
	}{
		"valid":                 {func(text string) string { return text }, ""},
		"no node":               {func(text string) string { return strings.Replace(text, `node = "n1"`, "", 1) }, "node is missing; set it"},
		"no wire key":           {func(text string) string { return strings.Replace(text, `key = "k"`, "", 1) }, "wire.key is missing; set it"},
		"store has no port":     {func(text string) string { return strings.Replace(text, "127.0.0.1:1", "127.0.0.1", 1) }, "store is no address"},
		"unknown table":         {func(text string) string { return text + "[log]\nlevel = \"info\"\n" + "[listen2]\n" }, "unknown key listen2"},
		"unknown key":           {func(text string) string { return "speed = 3\n" + text }, "unknown key speed"},
		"zero duration":         {func(text string) string { return strings.Replace(text, `"9s"`, `"0s"`, 1) }, `bounds.grace is not positive; write it as "500ms" or "3s"`},
		"negative capacity":     {func(text string) string { return "capacity = -0.2\n" + text }, "capacity is negative; write the box's share"},
		"capacity of one core":  {func(text string) string { return "capacity = 1\n" + text }, ""},
		"stale keys allowed":    {func(text string) string { return text + "refuse_stale_keys = false\n" }, ""},
		"wrong type of a flag":  {func(text string) string { return text + "refuse_stale_keys = \"no\"\n" }, "refuse_stale_keys"},
		"seeds":                 {func(text string) string { return "seeds = [\"127.0.0.1:5\", \"127.0.0.2:5\"]\n" + text }, ""},
		"a seed without a port": {func(text string) string { return "seeds = [\"127.0.0.1:5\", \"127.0.0.2\"]\n" + text }, "seeds[1] is no address"},
		"no unread bytes":       {func(text string) string { return text + "[limits]\nunread_bytes = 0\n" }, ""},
		"negative unread bytes": {func(text string) string { return text + "[limits]\nunread_bytes = -1\n" }, "limits.unread_bytes is negative; write a tenth of the box's memory"},
		"control off":           {func(text string) string { return text + "[overload]\ncontrol = \"off\"\n" }, ""},
		"control on":            {func(text string) string { return text + "[overload]\ncontrol = \"on\"\n" }, ""},
		"unknown control":       {func(text string) string { return text + "[overload]\ncontrol = \"Off\"\n" }, `overload.control is "Off"; write "auto", "on" or "off"`},
		"empty control":         {func(text string) string { return text + "[overload]\ncontrol = \"\"\n" }, `overload.control is ""; write "auto", "on" or "off"`},
		"control of wrong type": {func(text string) string { return text + "[overload]\ncontrol = false\n" }, "overload.control"},
		"truncated file":        {func(text string) string { return text[:40] }, "correct that line"}, // ends within the value of store
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "node.toml")
			assert.NilError(t, os.WriteFile(path, []byte(test.change(nodeText)), 0o600))
			settings, err := ReadNodeSettings(path)
			if test.want != "" {
				assert.ErrorContains(t, err, test.want)
				return
			}
			assert.NilError(t, err)
			assert.Equal(t, settings.Bounds.Grace, shedkeel.Duration(9*time.Second)) // from nodeText
			assert.Equal(t, settings.Limits.UnreadBytes, int64(16_000_000))
			assert.Equal(t, settings.Bounds.RetryRatio, DefaultNodeSettings().Bounds.RetryRatio)
		})
	}
}
