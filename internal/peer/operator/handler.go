// Package operator serves the operator API: settings, receipts, metrics and a
// dump of the process's state.
package operator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/jx"
	"github.com/google/uuid"
	"github.com/ogen-go/ogen/ogenerrors"
	"go.uber.org/zap"

	"daisystage.example/daisystage/internal/container/rcu"
	"daisystage.example/daisystage/internal/container/ring"
	"daisystage.example/daisystage/internal/node/events"
	"daisystage.example/daisystage/internal/peer/platform"
	"daisystage.example/daisystage/internal/wire/operatorapi"
	"daisystage.example/daisystage/internal/world/contract"
	"daisystage.example/daisystage/internal/world/machine"
	"daisystage.example/daisystage/internal/world/view"
)

const (
	// peersTimeout limits the query of all peers for their versions of a
	// setting.
	peersTimeout = 2 * time.Second
	// recentReceipts limits the receipts in memory that are searched.
	recentReceipts = 10000
)

// Handler serves operators over HTTP and implements operatorapi.Handler. Set the
// fields before Routes.
type Handler struct {
	Store platform.Store
	Views *rcu.Value[view.View]
	// Members returns all known entry VMs, including this one.
	Members func(now time.Time) []machine.EntryVM
	// Name is the name of this entry VM.
	Name string
	// Receipts holds the newest receipts of this process.
	Receipts *ring.Ring[contract.Receipt]
	// State returns the state of the process for the dump, as a value that can
	// be encoded as JSON.
	State func(now time.Time) any
	// Metrics serves /metrics.
	Metrics http.Handler
	Log     *zap.Logger
	// Dial establishes connections to the operator addresses of peers.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// APIError is an error with the HTTP status and code of the response.
type APIError struct {
	Status int
	Code   string
	Err    error
}

// Error implements error with the text of the cause.
func (ae *APIError) Error() string {
	return ae.Err.Error()
}

// Unwrap returns the cause, for errors.Is and errors.As.
func (ae *APIError) Unwrap() error {
	return ae.Err
}

type bearerKey struct{}

// bearer is an authenticated operator. secret is its token, which requests to
// peers forward.
type bearer struct {
	view.Token
	secret string
}

// Routes returns the HTTP handler.
func (hd *Handler) Routes() (http.Handler, error) {
	routes, err := operatorapi.NewServer(hd, hd, operatorapi.WithErrorHandler(writeError))
	if err != nil {
		return nil, fmt.Errorf("operator routes: %w", err)
	}
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", hd.Metrics)
	mux.Handle("/", http.MaxBytesHandler(routes, 2<<20))
	return mux, nil
}

// HandleToken implements operatorapi.SecurityHandler.
func (hd *Handler) HandleToken(ctx context.Context, _ operatorapi.OperationName, tk operatorapi.Token) (context.Context, error) {
	known, ok := hd.Views.Load().Tokens.Get(view.TokenKey(tk.Token))
	if !ok {
		return ctx, errors.New("the token is not known")
	}
	return context.WithValue(ctx, bearerKey{}, bearer{Token: known, secret: tk.Token}), nil
}

func bearerOf(ctx context.Context) bearer {
	br, _ := ctx.Value(bearerKey{}).(bearer)
	return br
}

// authorize returns an APIError if the operator's token does not allow a path.
func authorize(ctx context.Context, path string) error {
	if br := bearerOf(ctx); !br.Allows(path) {
		return &APIError{http.StatusForbidden, "forbidden", fmt.Errorf("the token is for %s, not for %s", br.Subtree, path)}
	}
	return nil
}

// GetSetting implements operatorapi.Handler.
func (hd *Handler) GetSetting(ctx context.Context, params operatorapi.GetSettingParams) (*operatorapi.Setting, error) {
	if err := authorize(ctx, params.Path); err != nil {
		return nil, err
	}
	st, ok := hd.Views.Load().Settings.Get(params.Path)
	if !ok {
		return nil, &APIError{http.StatusNotFound, "not_found", fmt.Errorf("no setting under %s", params.Path)}
	}
	return encodeSetting(st), nil
}

// PutSetting implements operatorapi.Handler.
func (hd *Handler) PutSetting(ctx context.Context, rq *operatorapi.Change, params operatorapi.PutSettingParams) (*operatorapi.Setting, error) {
	if err := authorize(ctx, params.Path); err != nil {
		return nil, err
	}
	br := bearerOf(ctx)
	st, err := platform.PutSetting(ctx, hd.Store, contract.Revision{
		Path: params.Path, Body: rq.Body, Previous: rq.BasedOn, ChangeID: rq.ChangeID,
		Author: br.Author, Reason: rq.Reason, WrittenAt: time.Now(),
	})
	if err != nil {
		events.SettingRefused.Log(hd.Log, zap.String("path", params.Path), zap.String("author", br.Author), zap.Error(err))
		return nil, apiErrorOf(err)
	}
	events.SettingAccepted.Log(hd.Log, zap.String("path", params.Path), zap.String("author", br.Author),
		zap.Int64("version", st.Version), zap.String("hash", st.Hash))
	return encodeSetting(st), nil
}

func apiErrorOf(err error) error {
	setting := (*contract.SettingError)(nil)
	switch {
	case errors.As(err, &setting), errors.Is(err, contract.ErrBadPath):
		return &APIError{http.StatusBadRequest, "invalid_setting", err}
	case errors.Is(err, platform.ErrChanged):
		return &APIError{http.StatusConflict, "changed", err}
	case errors.Is(err, platform.ErrOutcomeUnknown):
		return &APIError{http.StatusGatewayTimeout, "fate_open", err}
	case errors.Is(err, platform.ErrNotFound):
		return &APIError{http.StatusNotFound, "not_found", err}
	default:
		return &APIError{http.StatusServiceUnavailable, "platform_down", err}
	}
}

// LogSetting implements operatorapi.Handler.
func (hd *Handler) LogSetting(ctx context.Context, params operatorapi.LogSettingParams) ([]operatorapi.Setting, error) {
	if err := authorize(ctx, params.Path); err != nil {
		return nil, err
	}
	chain, err := platform.SettingHistory(ctx, hd.Store, params.Path, params.Limit.Or(20))
	if err != nil {
		return nil, apiErrorOf(err)
	}
	rows := make([]operatorapi.Setting, len(chain))
	for i, st := range chain {
		rows[i] = *encodeSetting(st)
	}
	return rows, nil
}

// GetRevision implements operatorapi.Handler.
func (hd *Handler) GetRevision(ctx context.Context, params operatorapi.GetRevisionParams) (*operatorapi.Setting, error) {
	st, err := platform.GetRevision(ctx, hd.Store, params.Hash)
	if err != nil {
		return nil, apiErrorOf(err)
	}
	if err := authorize(ctx, st.Path); err != nil {
		return nil, err
	}
	return encodeSetting(st), nil
}

// ListForce implements operatorapi.Handler. It queries each live entry VM for
// the version of a setting that is in force there.
func (hd *Handler) ListForce(ctx context.Context, params operatorapi.ListForceParams) ([]operatorapi.Force, error) {
	if err := authorize(ctx, params.Path); err != nil {
		return nil, err
	}
	now := time.Now()
	ctx, cancel := context.WithTimeout(ctx, peersTimeout)
	defer cancel()
	var live []machine.EntryVM
	for _, vm := range hd.Members(now) {
		if vm.IsLive(now) {
			live = append(live, vm)
		}
	}
	rows := make([]operatorapi.Force, len(live))
	var requests sync.WaitGroup
	for i, vm := range live {
		requests.Go(func() { rows[i] = hd.versionInForce(ctx, vm, params.Path) })
	}
	requests.Wait()
	return rows, nil
}

func (hd *Handler) versionInForce(ctx context.Context, vm machine.EntryVM, path string) operatorapi.Force {
	if vm.Name == hd.Name {
		row := operatorapi.Force{EntryVM: vm.Name, Reached: true}
		if st, ok := hd.Views.Load().Settings.Get(path); ok {
			row.Version = st.Version
		}
		return row
	}
	transport := &http.Transport{DialContext: hd.Dial, DisableKeepAlives: true}
	client, err := NewClient(vm.OperatorAddress, bearerOf(ctx).secret, &http.Client{Transport: transport})
	if err != nil {
		return operatorapi.Force{EntryVM: vm.Name}
	}
	st, err := client.GetSetting(ctx, operatorapi.GetSettingParams{Path: path})
	if rs := (*operatorapi.RefusedStatusCode)(nil); errors.As(err, &rs) && rs.StatusCode == http.StatusNotFound {
		return operatorapi.Force{EntryVM: vm.Name, Reached: true}
	}
	if err != nil {
		return operatorapi.Force{EntryVM: vm.Name}
	}
	return operatorapi.Force{EntryVM: vm.Name, Version: st.Version, Reached: true}
}

// GetReceipts implements operatorapi.Handler.
func (hd *Handler) GetReceipts(ctx context.Context, params operatorapi.GetReceiptsParams) ([]jx.Raw, error) {
	found, err := platform.FindReceipts(ctx, time.Now(), hd.Store, params.RequestID)
	local := hd.localReceipts(params.RequestID)
	if err != nil && len(local) == 0 {
		return nil, apiErrorOf(err)
	}
	rows := []jx.Raw{}
	seen := map[string]bool{}
	for _, rc := range slices.Concat(local, found) {
		// Encoding a receipt can't fail.
		text, _ := json.Marshal(rc)
		if seen[string(text)] || authorize(ctx, rc.Setting.Path) != nil {
			continue
		}
		seen[string(text)] = true
		rows = append(rows, text)
	}
	return rows, nil
}

func (hd *Handler) localReceipts(id uuid.UUID) []contract.Receipt {
	var local []contract.Receipt
	for _, rc := range hd.Receipts.Recent(recentReceipts) {
		if rc.RequestID == id.String() {
			local = append(local, *rc)
		}
	}
	return local
}

// Dump implements operatorapi.Handler.
func (hd *Handler) Dump(context.Context) (jx.Raw, error) {
	text, err := json.Marshal(hd.State(time.Now()))
	if err != nil {
		return nil, fmt.Errorf("encode dump: %w", err)
	}
	return text, nil
}

// NewError implements operatorapi.Handler.
func (hd *Handler) NewError(_ context.Context, err error) *operatorapi.RefusedStatusCode {
	ae := &APIError{http.StatusInternalServerError, "failed", err}
	if security := (*ogenerrors.SecurityError)(nil); errors.As(err, &security) {
		ae = &APIError{http.StatusUnauthorized, "no_token", errors.New("a known token is needed as a bearer token")}
	}
	_ = errors.As(err, &ae)
	return &operatorapi.RefusedStatusCode{
		StatusCode: ae.Status,
		Response:   operatorapi.Refusal{Code: ae.Code, Reason: ae.Error()},
	}
}

// writeError responds to requests that could not be decoded.
func writeError(_ context.Context, rw http.ResponseWriter, _ *http.Request, err error) {
	refusal := operatorapi.Refusal{Code: "bad_request", Reason: err.Error()}
	text, _ := refusal.MarshalJSON()
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(ogenerrors.ErrorCode(err))
	_, _ = rw.Write(text)
}

func encodeSetting(st *contract.Setting) *operatorapi.Setting {
	return &operatorapi.Setting{
		Path: st.Path, Version: st.Version, Hash: st.Hash, Body: st.Body, Previous: st.Previous,
		ChangeID: st.ChangeID, Author: st.Author, Reason: st.Reason, WrittenAt: st.WrittenAt,
	}
}

// token implements operatorapi.SecuritySource for a client.
type token string

// Token implements operatorapi.SecuritySource.
func (tk token) Token(context.Context, operatorapi.OperationName) (operatorapi.Token, error) {
	return operatorapi.Token{Token: string(tk)}, nil
}

// NewClient returns a client of the operator API of an entry VM. secret is the
// bearer token.
func NewClient(address, secret string, hc *http.Client) (*operatorapi.Client, error) {
	client, err := operatorapi.NewClient("http://"+address, token(secret), operatorapi.WithClient(hc))
	if err != nil {
		return nil, fmt.Errorf("operator address %s: %w", address, err)
	}
	return client, nil
}
