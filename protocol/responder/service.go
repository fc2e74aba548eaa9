package responder

import (
	"net/url"
	"strings"

	"monsoonspar.example/state/cataloger"

	"github.com/gofiber/fiber/v2"
)

// modelList is the wire form of the list of models.
type modelList struct {
	Object string      `json:"object"`
	Data   []modelItem `json:"data"`
}

type modelItem struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

// listModels lists the models that callers may request, with and without adapters.
func (r *Responder) listModels(c *fiber.Ctx) error {
	if _, err := r.authenticate(c); err != nil {
		return err
	}
	m := r.backend.Manifest()
	list := modelList{Object: "list", Data: []modelItem{}}
	for _, model := range m.Models {
		list.Data = append(list.Data, modelItem{ID: model.Name, Object: "model", OwnedBy: m.Deployment})
		for _, a := range model.Adapters {
			list.Data = append(list.Data, modelItem{ID: model.Name + ":" + a, Object: "model", OwnedBy: m.Deployment})
		}
	}
	return c.JSON(list)
}

// callService forwards a call to a plain service.
func (r *Responder) callService(c *fiber.Ctx) error {
	customer, err := r.authenticate(c)
	if err != nil {
		return err
	}
	call, err := r.parseCall(c, customer)
	if err != nil {
		return err
	}
	c.Set(HeaderRequestID, call.ID)
	res, err := r.backend.Call(c.UserContext(), call)
	if err != nil {
		return err
	}
	c.Set(HeaderOutcome, "ran")
	if res.Replayed {
		c.Set(HeaderReplayed, "true")
	}
	if res.ContentType != "" {
		c.Set(fiber.HeaderContentType, res.ContentType)
	}
	if res.ContentEncoding != "" {
		c.Set(fiber.HeaderContentEncoding, res.ContentEncoding)
	}
	return c.Status(res.Status).Send(res.Body)
}

// parseCall decodes and validates a call to a plain service.
func (r *Responder) parseCall(c *fiber.Ctx, customer cataloger.Customer) (Call, error) {
	m := r.backend.Manifest()
	service, err := findService(m, c.Params("name"))
	if err != nil {
		return Call{}, err
	}
	body := c.BodyRaw() // Body decodes a content encoding.
	if err := checkSize(body, m.Defaults); err != nil {
		return Call{}, err
	}
	path, err := servicePath(c, service.Name)
	if err != nil {
		return Call{}, err
	}
	call := Call{
		ID: r.cfg.RequestID(), Customer: customer, Service: service.Name,
		Method: c.Method(), Path: (&url.URL{Path: path}).EscapedPath(), ContentType: c.Get(fiber.HeaderContentType),
		ContentEncoding: c.Get(fiber.HeaderContentEncoding), Body: body, Fingerprint: fingerprint(c.Method()+" "+c.OriginalURL(), body),
	}
	if q := c.Context().URI().QueryString(); len(q) > 0 {
		call.Path += "?" + string(q)
	}
	if call.Timeout, err = timeout(c, m.Defaults); err != nil {
		return Call{}, err
	}
	if service.Timeout > 0 && c.Get(HeaderTimeout) == "" {
		call.Timeout = service.Timeout
	}
	if call.IdempotencyKey, err = idempotencyKey(c); err != nil {
		return Call{}, err
	}
	call.Safe = isSafeMethod(call.Method)
	marked, err := nonIdempotent(c)
	if err != nil {
		return Call{}, err
	}
	call.NonIdempotent = marked || (!call.Safe && isNonIdempotent(service, path))
	return call, nil
}

// findService returns the service with the given name in the manifest.
func findService(m *cataloger.Manifest, name string) (cataloger.Service, error) {
	for _, s := range m.Services {
		if s.Name == name {
			return s, nil
		}
	}
	return cataloger.Service{}, &RequestError{Status: fiber.StatusNotFound, Code: "service_not_found", Message: "no such service"}
}

// servicePath returns the decoded and normalized path within the service, so that
// no spelling of a path evades the non_idempotent prefixes in the manifest.
func servicePath(c *fiber.Ctx, service string) (string, error) {
	fullPath := string(c.Context().URI().Path())
	rest, ok := strings.CutPrefix(fullPath, "/services/"+service)
	if !ok || (rest != "" && rest[0] != '/') {
		return "", badRequest("path_invalid", "the path leaves the service")
	}
	if rest == "" {
		return "/", nil
	}
	return rest, nil
}

// isSafeMethod reports whether method is safe: requests with it are read-only.
func isSafeMethod(method string) bool {
	switch method {
	case fiber.MethodGet, fiber.MethodHead, fiber.MethodOptions:
		return true
	}
	return false
}

// isNonIdempotent reports whether the manifest declares that calls to path must
// not be repeated.
func isNonIdempotent(s cataloger.Service, path string) bool {
	for _, prefix := range s.NonIdempotent {
		if path == prefix || strings.HasPrefix(path, strings.TrimSuffix(prefix, "/")+"/") {
			return true
		}
	}
	return false
}
