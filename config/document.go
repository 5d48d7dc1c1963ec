package config

import (
	"encoding/hex"
	"fmt"
	"path/filepath"
	"time"

	"shedkeel.org/shedkeel"
	"shedkeel.org/shedkeel/policy"
)

// Limits of a document.
const (
	maxServices = 1000
	maxAccounts = 100_000
	maxGroups   = 100_000   // replica groups of one service
	maxMembers  = 64        // boxes in one replica group
	maxTimeout  = time.Hour // longest Timeout of a service
)

// Document is the complete desired configuration of keepers and entries, as operators
// write and apply it.
type Document struct {
	EntryBoxes int                `toml:"entry_boxes"` // largest number of entry boxes that run at once; each enforces the rates of accounts divided by this number
	Policy     DocumentPolicy     `toml:"policy"`
	Services   []shedkeel.Service `toml:"service"`
	Accounts   []shedkeel.Account `toml:"account"`
}

// DocumentPolicy names the file of the policy program. A relative path is relative
// to the document's directory; an empty path means no program.
type DocumentPolicy struct {
	File string `toml:"file"`
}

// ReadDocument reads and validates a document and its policy program. The returned
// configuration has no generation yet. The error is an InvalidError.
func ReadDocument(path string) (shedkeel.Config, error) {
	text, err := ReadFile(path)
	if err != nil {
		return shedkeel.Config{}, err
	}
	document, err := ParseDocument(path, text)
	if err != nil {
		return shedkeel.Config{}, err
	}
	config := shedkeel.Config{EntryBoxes: document.EntryBoxes, Services: document.Services, Accounts: document.Accounts}
	if document.Policy.File != "" {
		file := document.Policy.File
		if !filepath.IsAbs(file) {
			file = filepath.Join(filepath.Dir(path), file)
		}
		program, err := ReadFile(file)
		if err != nil {
			return shedkeel.Config{}, err
		}
		config.Policy = shedkeel.Policy{Name: filepath.Base(file), Program: string(program)}
	}
	return config, Check(path, &config)
}

// ParseDocument decodes the text of a document. It neither reads the policy program
// nor validates values; see Check. The name stands for the file in the error, which is
// an InvalidError.
func ParseDocument(name string, text []byte) (Document, error) {
	var document Document
	err := decode(name, text, &document)
	return document, err
}

// Check validates a configuration and its policy program, and returns an InvalidError
// for the first fault. The name stands for the file in the error, except in an error of
// the program, which has the policy's name.
func Check(name string, config *shedkeel.Config) error {
	if config.EntryBoxes < 1 {
		return &shedkeel.InvalidError{Where: name, What: "entry_boxes is not positive", Remedy: "set the most entry boxes that ever run at once"}
	}
	if len(config.Services) > maxServices || len(config.Accounts) > maxAccounts {
		return &shedkeel.InvalidError{Where: name, What: "too many services or accounts", Remedy: fmt.Sprintf("keep within %d services and %d accounts", maxServices, maxAccounts)}
	}
	if err := checkServices(name, config.Services); err != nil {
		return err
	}
	if err := checkAccounts(name, config); err != nil {
		return err
	}
	return policy.Check(config.Policy)
}

// checkServices validates the services: their IDs, which must be unique, their times and
// capacities, and the fields that depend on the kind.
func checkServices(name string, services []shedkeel.Service) error {
	seen := map[shedkeel.ServiceID]bool{}
	for index := range services {
		service := &services[index]
		where := fmt.Sprintf("%s: service %q", name, service.ID)
		if service.ID == "" || seen[service.ID] {
			return &shedkeel.InvalidError{Where: where, What: "its id is empty or taken", Remedy: "give each service an id of its own"}
		}
		seen[service.ID] = true
		if service.Timeout <= 0 || time.Duration(service.Timeout) > maxTimeout {
			return &shedkeel.InvalidError{Where: where, What: "timeout is missing or too long", Remedy: `write it as "30s", at most "1h"`}
		}
		if service.MaxWait < 0 {
			return &shedkeel.InvalidError{Where: where, What: "max_wait is negative", Remedy: `write it as "300ms", or leave it out`}
		}
		if service.Capacity < 1 {
			return &shedkeel.InvalidError{Where: where, What: "capacity is not positive", Remedy: "set how many requests one group or server runs at once"}
		}
		if err := checkKind(where, service); err != nil {
			return err
		}
	}
	return nil
}

// checkKind validates the fields that depend on the service's kind.
func checkKind(where string, service *shedkeel.Service) error {
	switch service.Kind {
	case shedkeel.KindModel:
		if service.Groups < 0 || service.Groups > maxGroups || service.Members < 1 || service.Members > maxMembers || len(service.Zones) == 0 {
			return &shedkeel.InvalidError{Where: where, What: "groups, members or zones are out of range", Remedy: fmt.Sprintf("set groups up to %d, members from 1 to %d, and at least one zone", maxGroups, maxMembers)}
		}
		if len(service.Backends) > 0 || len(service.OncePaths) > 0 {
			return &shedkeel.InvalidError{Where: where, What: "backends and once_paths belong to plain services", Remedy: "remove them"}
		}
	case shedkeel.KindPlain:
		if len(service.Backends) == 0 || service.Groups != 0 || service.Members != 0 {
			return &shedkeel.InvalidError{Where: where, What: "a plain service has backends, no groups and no members", Remedy: "list its backends and remove groups and members"}
		}
	default:
		return &shedkeel.InvalidError{Where: where, What: fmt.Sprintf("kind %q is unknown", service.Kind), Remedy: `write "model" or "plain"`}
	}
	return nil
}

// checkAccounts validates the client accounts: IDs and key hashes must be unique, each key
// hash must be a SHA-256, rates and weights must not be negative, and the services that
// accounts may call must exist.
func checkAccounts(name string, config *shedkeel.Config) error {
	seen := map[shedkeel.AccountID]bool{}
	keys := map[string]bool{}
	for _, account := range config.Accounts {
		where := fmt.Sprintf("%s: account %q", name, account.ID)
		if account.ID == "" || seen[account.ID] {
			return &shedkeel.InvalidError{Where: where, What: "its id is empty or taken", Remedy: "give each account an id of its own"}
		}
		seen[account.ID] = true
		if digest, err := hex.DecodeString(account.KeyHash); err != nil || len(digest) != 32 || keys[account.KeyHash] {
			return &shedkeel.InvalidError{Where: where, What: "key_sha256 is no SHA-256 in hex, or another account has it", Remedy: "write the hash that `shedkeel account hash` prints"}
		}
		keys[account.KeyHash] = true
		if account.Rate < 0 || account.Weight < 0 {
			return &shedkeel.InvalidError{Where: where, What: "rate or weight is negative", Remedy: "leave it out for no limit or a weight of 1"}
		}
		for _, id := range account.Services {
			if config.Service(id) == nil {
				return &shedkeel.InvalidError{Where: where, What: fmt.Sprintf("service %q does not exist", id), Remedy: "create it in the same document"}
			}
		}
	}
	return nil
}
