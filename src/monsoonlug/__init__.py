"""Router for backend servers, each of which exclusively owns some routing keys."""
