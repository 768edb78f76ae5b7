package platform

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	peerplatform "daisystage.example/daisystage/internal/peer/platform"
	"daisystage.example/daisystage/internal/wire/platformapi"
	"daisystage.example/daisystage/internal/world/view"
)

// handler implements the platform's HTTP API on a store.
type handler struct {
	store peerplatform.Store
}

// Routes returns the HTTP handler that serves a store.
func Routes(store peerplatform.Store) (http.Handler, error) {
	routes, err := platformapi.NewServer(handler{store})
	if err != nil {
		return nil, fmt.Errorf("platform routes: %w", err)
	}
	return routes, nil
}

// GetObject implements platformapi.Handler.
func (hd handler) GetObject(ctx context.Context, params platformapi.GetObjectParams) (*platformapi.Object, error) {
	ob, err := hd.store.Get(ctx, params.Key)
	if err != nil {
		return nil, err
	}
	encoded := encode(ob)
	return &encoded, nil
}

// PutObject implements platformapi.Handler.
func (hd handler) PutObject(ctx context.Context, rq *platformapi.Value, params platformapi.PutObjectParams) (*platformapi.Stamp, error) {
	version, err := hd.store.Put(ctx, params.Key, rq.Value, params.IfVersion)
	if err != nil {
		return nil, err
	}
	return &platformapi.Stamp{Version: version}, nil
}

// DeleteObject implements platformapi.Handler.
func (hd handler) DeleteObject(ctx context.Context, params platformapi.DeleteObjectParams) (*platformapi.Stamp, error) {
	if err := hd.store.Delete(ctx, params.Key, params.IfVersion); err != nil {
		return nil, err
	}
	// The platform's version is that of the deletion, or of a later change.
	_, version, err := hd.store.List(ctx, params.Key)
	if err != nil {
		return nil, err
	}
	return &platformapi.Stamp{Version: version}, nil
}

// ListObjects implements platformapi.Handler.
func (hd handler) ListObjects(ctx context.Context, params platformapi.ListObjectsParams) (*platformapi.Listing, error) {
	objects, version, err := hd.store.List(ctx, params.Prefix)
	if err != nil {
		return nil, err
	}
	return &platformapi.Listing{Version: version, Objects: encodeAll(objects)}, nil
}

// WatchObjects implements platformapi.Handler.
func (hd handler) WatchObjects(ctx context.Context, params platformapi.WatchObjectsParams) (*platformapi.Changes, error) {
	wait := time.Duration(params.WaitMs) * time.Millisecond
	objects, next, err := hd.store.Watch(ctx, params.Prefix, params.From, wait)
	if err != nil {
		return nil, err
	}
	return &platformapi.Changes{Next: next, Objects: encodeAll(objects)}, nil
}

// ListVMs implements platformapi.Handler.
func (hd handler) ListVMs(ctx context.Context) ([]platformapi.VM, error) {
	vms, err := hd.store.VMs(ctx)
	if err != nil {
		return nil, err
	}
	rows := make([]platformapi.VM, len(vms))
	for i, vm := range vms {
		rows[i] = platformapi.VM{Name: vm.Name, State: platformapi.VMStateLive}
		if vm.Leaving {
			rows[i].State = platformapi.VMStateLeaving
		}
	}
	return rows, nil
}

// NewError implements platformapi.Handler.
func (hd handler) NewError(_ context.Context, err error) *platformapi.FailedStatusCode {
	known := []struct {
		err    error
		status int
		code   platformapi.FailureCode
	}{
		{peerplatform.ErrNotFound, http.StatusNotFound, platformapi.FailureCodeNotFound},
		{peerplatform.ErrConflict, http.StatusConflict, platformapi.FailureCodeConflict},
		{peerplatform.ErrTooLarge, http.StatusRequestEntityTooLarge, platformapi.FailureCodeTooLarge},
		{peerplatform.ErrCompacted, http.StatusGone, platformapi.FailureCodeCompacted},
		{err, http.StatusServiceUnavailable, platformapi.FailureCodeUnavailable},
	}
	for _, kn := range known {
		if errors.Is(err, kn.err) {
			return &platformapi.FailedStatusCode{
				StatusCode: kn.status,
				Response:   platformapi.Failure{Code: kn.code, Reason: err.Error()},
			}
		}
	}
	return nil
}

func encodeAll(objects []view.Object) []platformapi.Object {
	encoded := make([]platformapi.Object, len(objects))
	for i, ob := range objects {
		encoded[i] = encode(ob)
	}
	return encoded
}

func encode(ob view.Object) platformapi.Object {
	encoded := platformapi.Object{Key: ob.Key, Version: ob.Version, Value: ob.Value}
	if ob.Deleted {
		encoded.Deleted = platformapi.NewOptBool(true)
	}
	return encoded
}
