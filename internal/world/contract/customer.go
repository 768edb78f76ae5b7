package contract

// Customer is one of the customers whose requests carry a key.
type Customer struct {
	// Name is unique in its table. Servers get it with each request of the customer.
	Name string `json:"name"`
	// Priority takes precedence over that of the route; 0 is the highest. Nil if the
	// customer has none.
	Priority *int `json:"priority,omitempty"`
	// Limit bounds the customer's requests; its zero value sets no limit.
	Limit SharedRate `json:"limit"`
}
