package main

import (
	_ "embed"
	"encoding/json"
	"fmt"
)

// names holds the names of the platform's protocol, read from names.json.
type names struct {
	BootVariable string `json:"boot_variable"`
	Headers      struct {
		Attempt       string `json:"attempt"`
		Deadline      string `json:"deadline"`
		Seal          string `json:"seal"`
		Expected      string `json:"expected"`
		Instance      string `json:"instance"`
		Load          string `json:"load"`
		NotExecuted   string `json:"not_executed"`
		Era           string `json:"era"`
		Authorization string `json:"authorization"`
		KeyScheme     string `json:"key_scheme"`
		Tenant        string `json:"tenant"`
		RetryAfter    string `json:"retry_after"`
	} `json:"headers"`
	Paths struct {
		Objects string `json:"objects"`
		Ready   string `json:"ready"`
		Health  string `json:"health"`
	} `json:"paths"`
	Store struct {
		Revision string `json:"revision"`
		More     string `json:"more"`
		Items    string `json:"items"`
		Events   string `json:"events"`
		Object   string `json:"object"`
		Removed  string `json:"removed"`
		Watch    string `json:"watch"`
		Wait     string `json:"wait"`
		After    string `json:"after"`
		Config   string `json:"config"`
		Main     string `json:"main"`
		Servers  string `json:"servers"`
	} `json:"store"`
	// Object holds the names of the fields of a stored object.
	Object struct {
		Meta       string `json:"meta"`
		Spec       string `json:"spec"`
		Status     string `json:"status"`
		Name       string `json:"name"`
		Revision   string `json:"revision"`
		Created    string `json:"created"`
		Finalizers string `json:"finalizers"`
		Deleting   string `json:"deleting"`
	} `json:"object"`
	// FirstStart and LaterStart are the texts in the settings of a process.
	FirstStart string `json:"first_start"`
	LaterStart string `json:"later_start"`
	Words      struct {
		Ready      string `json:"ready"`
		Draining   string `json:"draining"`
		Idempotent string `json:"idempotent"`
		Once       string `json:"once"`
	} `json:"words"`
	// Deployments are the parts of the settings that differ between cases.
	Deployments map[string]deployment `json:"deployments"`
}

type deployment struct {
	Contracts json.RawMessage `json:"contracts"`
	Bounds    json.RawMessage `json:"bounds"`
}

//go:embed names.json
var namesText []byte

//go:embed settings.json
var settingsText string

var nm = func() names {
	var read names
	if err := json.Unmarshal(namesText, &read); err != nil {
		panic(fmt.Sprintf("names.json: %v", err))
	}
	return read
}()
